/**
 * Compares two configurations: what an edit would add, remove, change, withdraw or return. Order of
 * lists does not count.
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

/** Which subject is compared and where it stands. */
interface Place {
  readonly subject: DifferenceSubject;
  readonly service: string;
}

const NO_FIELD = { field: '', before: '', after: '' };

/** The differences that lead from one configuration to another; none when they do the same. */
export function diffConfigurations(before: Configuration, after: Configuration): Difference[] {
  const workspaces: Place = { subject: DifferenceSubject.Workspace, service: '' };
  const limits: Place = { subject: DifferenceSubject.Limits, service: '' };
  return [
    ...diffServices(before.services, after.services),
    ...diffNamed(workspaces, before.workspaces, after.workspaces, nameOf, (was, is) =>
      diffFields(workspaces, is.name, WORKSPACE_FIELDS, was, is),
    ),
    ...diffFields(limits, '', LIMITS_FIELDS, before.limits, after.limits),
  ];
}

function nameOf({ name }: { readonly name: string }): string {
  return name;
}

function diffServices(before: readonly ServiceSpec[], after: readonly ServiceSpec[]): Difference[] {
  const place: Place = { subject: DifferenceSubject.Service, service: '' };
  return diffNamed(place, before, after, nameOf, (was, is) => [
    ...diffFields(place, is.name, SERVICE_FIELDS, was, is),
    ...diffInside(was, is),
  ]);
}

function diffInside(was: ServiceSpec, is: ServiceSpec): Difference[] {
  const models: Place = { subject: DifferenceSubject.Model, service: is.name };
  const calls: Place = { subject: DifferenceSubject.Call, service: is.name };
  const targets: Place = { subject: DifferenceSubject.Target, service: is.name };
  return [
    ...diffNamed(models, was.models, is.models, nameOf, (a, b) =>
      diffFields(models, b.name, MODEL_FIELDS, a, b),
    ),
    ...diffNamed(
      calls,
      was.calls,
      is.calls,
      ({ pathPrefix }) => pathPrefix,
      (a, b) => diffFields(calls, b.pathPrefix, CALL_FIELDS, a, b),
    ),
    ...diffNamed(targets, was.targets, is.targets, nameOf, (a, b) => [
      ...diffWithdrawal(targets, a, b),
      ...diffFields(targets, b.name, TARGET_FIELDS, a, b),
    ]),
  ];
}

function diffWithdrawal(place: Place, was: TargetSpec, is: TargetSpec): Difference[] {
  if (was.withdrawn === is.withdrawn) return [];
  const change = is.withdrawn ? DifferenceChange.Withdrawn : DifferenceChange.Returned;
  return [{ ...place, ...NO_FIELD, change, name: is.name }];
}

function diffNamed<Spec>(
  place: Place,
  before: readonly Spec[],
  after: readonly Spec[],
  keyOf: (spec: Spec) => string,
  diffBoth: (was: Spec, is: Spec) => Difference[],
): Difference[] {
  const were = new Map(before.map((spec) => [keyOf(spec), spec]));
  const are = new Set(after.map(keyOf));
  const removed = before
    .filter((spec) => !are.has(keyOf(spec)))
    .map((spec) => wholeDifference(place, DifferenceChange.Removed, keyOf(spec)));
  const addedOrChanged = after.flatMap((is) => {
    const was = were.get(keyOf(is));
    return was === undefined
      ? [wholeDifference(place, DifferenceChange.Added, keyOf(is))]
      : diffBoth(was, is);
  });
  return [...removed, ...addedOrChanged];
}

function wholeDifference(place: Place, change: DifferenceChange, name: string): Difference {
  return { ...place, ...NO_FIELD, change, name };
}

function diffFields<Spec>(
  place: Place,
  name: string,
  fields: readonly ComparedField<Spec>[],
  was: Spec,
  is: Spec,
): Difference[] {
  return fields.flatMap(({ field, valueOf }) => {
    const before = valueOf(was);
    const after = valueOf(is);
    if (before === after) return [];
    return [{ ...place, change: DifferenceChange.Changed, name, field, before, after }];
  });
}
