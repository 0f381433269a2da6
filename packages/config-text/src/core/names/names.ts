/**
 * Checks names across the whole text: duplicates, references to undeclared names and dependency
 * cycles between services.
 */
import { findDependencyCycle } from '@cassiamast/coordination';
import { MAX_TARGETS } from '../compile/limits.js';
import { pathText, type UnlocatedFault } from '../faults/fault.js';
import { DEPENDENCY_CYCLE, DUPLICATE, TOO_MANY, UNKNOWN_NAME } from '../faults/failures.js';
import { nearestName } from '../faults/nearest.js';
import { quoted } from '../quantities/quantity.js';
import {
  mappingsIn,
  rootEntry,
  textOf,
  textsIn,
  type MappingEntry,
  type TextEntry,
} from './entries.js';

/** Returns all name faults in the raw data, and one fault if there are too many targets. */
export function nameFaults(raw: unknown): UnlocatedFault[] {
  const root = rootEntry(raw);
  const services = mappingsIn(root, 'services');
  const workspaces = mappingsIn(root, 'workspaces');
  const targets = services.flatMap((service) => mappingsIn(service, 'targets'));
  return [
    ...duplicates('failure domain', textsIn(root, 'failureDomains')),
    ...duplicates('service', namesOf(services)),
    ...duplicates('workspace', namesOf(workspaces)),
    ...duplicates('target', namesOf(targets)),
    ...duplicates('address', addressesOf(targets)),
    ...duplicates(
      'API key digest',
      workspaces.flatMap((workspace) => textsIn(workspace, 'apiKeySha256')),
    ),
    ...services.flatMap(serviceDuplicates),
    ...unknownDependencies(services),
    ...unknownFailureDomains(root, targets),
    ...dependencyCycles(services),
    ...tooManyTargets(targets),
  ];
}

function namesOf(entries: readonly MappingEntry[]): TextEntry[] {
  return entries.flatMap((entry) => textOf(entry, 'name'));
}

function addressesOf(targets: readonly MappingEntry[]): TextEntry[] {
  return targets.flatMap((target) => [...textOf(target, 'sidecar'), ...textOf(target, 'backend')]);
}

function serviceDuplicates(service: MappingEntry): UnlocatedFault[] {
  const models = mappingsIn(service, 'models');
  const calls = mappingsIn(service, 'calls');
  return [
    ...duplicates('model', namesOf(models)),
    ...models.flatMap((model) => duplicates('adapter', textsIn(model, 'adapters'))),
    ...duplicates(
      'path',
      calls.flatMap((call) => textOf(call, 'path')),
    ),
    ...duplicates('dependency', textsIn(service, 'dependsOn')),
  ];
}

function duplicates(what: string, entries: readonly TextEntry[]): UnlocatedFault[] {
  const firstByValue = new Map<string, TextEntry>();
  const faults: UnlocatedFault[] = [];
  for (const entry of entries) {
    const first = firstByValue.get(entry.value);
    if (first === undefined) {
      firstByValue.set(entry.value, entry);
      continue;
    }
    const data = { what, value: quoted(entry.value), first: pathText(first.path) };
    faults.push({ failure: DUPLICATE.of(data), path: entry.path, atKey: false });
  }
  return faults;
}

function unknownNames(
  what: string,
  entries: readonly TextEntry[],
  known: ReadonlySet<string>,
): UnlocatedFault[] {
  return entries
    .filter(({ value }) => !known.has(value))
    .map(({ value, path }) => {
      const nearest = nearestName(value, known);
      const failure = UNKNOWN_NAME.of({ what, value: quoted(value), nearest });
      return { failure, path, atKey: false };
    });
}

function unknownDependencies(services: readonly MappingEntry[]): UnlocatedFault[] {
  const known = new Set(namesOf(services).map(({ value }) => value));
  return services.flatMap((service) =>
    unknownNames('service', textsIn(service, 'dependsOn'), known),
  );
}

function unknownFailureDomains(
  root: MappingEntry,
  targets: readonly MappingEntry[],
): UnlocatedFault[] {
  // A missing list is reported once as a missing field; one fault per target would add nothing.
  if (!Array.isArray(root.fields.failureDomains)) return [];
  const known = new Set(textsIn(root, 'failureDomains').map(({ value }) => value));
  const references = targets.flatMap((target) => textOf(target, 'failureDomain'));
  return unknownNames('failure domain', references, known);
}

function dependencyCycles(services: readonly MappingEntry[]): UnlocatedFault[] {
  const graph = services.flatMap((service) =>
    textOf(service, 'name').map(({ value }) => ({
      name: value,
      dependsOn: textsIn(service, 'dependsOn').map((dependency) => dependency.value),
      path: service.path,
    })),
  );
  const cycle = findDependencyCycle(graph);
  if (cycle === null) return [];
  const path = graph.find(({ name }) => name === cycle[0])?.path ?? [];
  const failure = DEPENDENCY_CYCLE.of({ cycle });
  return [{ failure, path: [...path, 'dependsOn'], atKey: true }];
}

function tooManyTargets(targets: readonly MappingEntry[]): UnlocatedFault[] {
  if (targets.length <= MAX_TARGETS) return [];
  return [{ failure: TOO_MANY.of({ max: MAX_TARGETS }), path: ['services'], atKey: true }];
}
