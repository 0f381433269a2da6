/**
 * Compares two configurations and lists what an edit adds, removes, changes, withdraws or returns
 * to service. The order of list entries is ignored.
 */
import type { Configuration, ServiceSpec, TargetSpec } from '@cassiamast/coordination';
import {
  CALL_FIELDS,
  LIMITS_FIELDS,
  MODEL_FIELDS,
  SERVICE_FIELDS,
  TARGET_FIELDS,
  WORKSPACE_FIELDS,
  type ComparedField,
} from './fields.js';
import { DifferenceChange, DifferenceSubject, type Difference } from './difference.js';

/** The kind of subject that is compared and the service that contains it, if any. */
interface SubjectContext {
  readonly subject: DifferenceSubject;
  readonly service: string;
}

const NO_FIELD = { field: '', before: '', after: '' };

/** Returns the differences between two configurations, or an empty list if they are equivalent. */
export function diffConfigurations(before: Configuration, after: Configuration): Difference[] {
  const workspaces: SubjectContext = { subject: DifferenceSubject.Workspace, service: '' };
  const limits: SubjectContext = { subject: DifferenceSubject.Limits, service: '' };
  return [
    ...diffServices(before.services, after.services),
    ...diffByKey(workspaces, before.workspaces, after.workspaces, nameOf, (previous, current) =>
      diffFields(workspaces, current.name, WORKSPACE_FIELDS, previous, current),
    ),
    ...diffFields(limits, '', LIMITS_FIELDS, before.limits, after.limits),
  ];
}

function nameOf({ name }: { readonly name: string }): string {
  return name;
}

function diffServices(before: readonly ServiceSpec[], after: readonly ServiceSpec[]): Difference[] {
  const context: SubjectContext = { subject: DifferenceSubject.Service, service: '' };
  return diffByKey(context, before, after, nameOf, (previous, current) => [
    ...diffFields(context, current.name, SERVICE_FIELDS, previous, current),
    ...diffServiceParts(previous, current),
  ]);
}

function diffServiceParts(previous: ServiceSpec, current: ServiceSpec): Difference[] {
  const models: SubjectContext = { subject: DifferenceSubject.Model, service: current.name };
  const calls: SubjectContext = { subject: DifferenceSubject.Call, service: current.name };
  const targets: SubjectContext = { subject: DifferenceSubject.Target, service: current.name };
  return [
    ...diffByKey(models, previous.models, current.models, nameOf, (a, b) =>
      diffFields(models, b.name, MODEL_FIELDS, a, b),
    ),
    ...diffByKey(
      calls,
      previous.calls,
      current.calls,
      ({ pathPrefix }) => pathPrefix,
      (a, b) => diffFields(calls, b.pathPrefix, CALL_FIELDS, a, b),
    ),
    ...diffByKey(targets, previous.targets, current.targets, nameOf, (a, b) => [
      ...diffWithdrawal(targets, a, b),
      ...diffFields(targets, b.name, TARGET_FIELDS, a, b),
    ]),
  ];
}

function diffWithdrawal(
  context: SubjectContext,
  previous: TargetSpec,
  current: TargetSpec,
): Difference[] {
  if (previous.withdrawn === current.withdrawn) return [];
  const change = current.withdrawn ? DifferenceChange.Withdrawn : DifferenceChange.Returned;
  return [{ ...context, ...NO_FIELD, change, name: current.name }];
}

function diffByKey<Spec>(
  context: SubjectContext,
  before: readonly Spec[],
  after: readonly Spec[],
  keyOf: (spec: Spec) => string,
  diffMatching: (previous: Spec, current: Spec) => Difference[],
): Difference[] {
  const beforeByKey = new Map(before.map((spec) => [keyOf(spec), spec]));
  const afterKeys = new Set(after.map(keyOf));
  const removed = before
    .filter((spec) => !afterKeys.has(keyOf(spec)))
    .map((spec) => subjectDifference(context, DifferenceChange.Removed, keyOf(spec)));
  const addedOrChanged = after.flatMap((current) => {
    const previous = beforeByKey.get(keyOf(current));
    return previous === undefined
      ? [subjectDifference(context, DifferenceChange.Added, keyOf(current))]
      : diffMatching(previous, current);
  });
  return [...removed, ...addedOrChanged];
}

function subjectDifference(
  context: SubjectContext,
  change: DifferenceChange,
  name: string,
): Difference {
  return { ...context, ...NO_FIELD, change, name };
}

function diffFields<Spec>(
  context: SubjectContext,
  name: string,
  fields: readonly ComparedField<Spec>[],
  previous: Spec,
  current: Spec,
): Difference[] {
  return fields.flatMap(({ field, valueOf }) => {
    const before = valueOf(previous);
    const after = valueOf(current);
    if (before === after) return [];
    return [{ ...context, change: DifferenceChange.Changed, name, field, before, after }];
  });
}
