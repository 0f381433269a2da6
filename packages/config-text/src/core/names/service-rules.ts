/**
 * Rules that hold within one service: which fields apply to its kind, what its kind needs, and
 * whether its floor can be met.
 */
import { TargetKind } from '@cassiamast/coordination';
import type { UnlocatedFault } from '../faults/fault.js';
import { DOES_NOT_APPLY, FLOOR_TOO_HIGH, TOO_FEW } from '../faults/failures.js';
import type { ValidatedService } from '../schema/schema.js';

/** Share of a service's targets that planned changes leave serving, where the text names no floor. */
const DEFAULT_FLOOR_RATIO = 0.75;

const FIELDS_OF_ENGINES = ['models', 'rolesMayChange', 'checksFencing'] as const;
const FIELDS_OF_PLAIN_SERVICES = ['calls'] as const;

/** Targets of a service that are not withdrawn. */
export function servingTargets(service: ValidatedService): number {
  return service.targets.filter(({ withdrawn }) => !withdrawn).length;
}

/** The floor where the text names none: three quarters, and at least one of any that serve. */
export function defaultFloor(service: ValidatedService): number {
  const serving = servingTargets(service);
  return Math.min(serving, Math.max(1, Math.floor(serving * DEFAULT_FLOOR_RATIO)));
}

/** The faults of one service at its place in the list. */
export function serviceFaults(service: ValidatedService, index: number): UnlocatedFault[] {
  const path = ['services', index];
  return [
    ...fieldsThatDoNotApply(service, path),
    ...modelsMissing(service, path),
    ...floorTooHigh(service, path),
  ];
}

type ServicePath = (string | number)[];

function fieldsThatDoNotApply(service: ValidatedService, path: ServicePath): UnlocatedFault[] {
  const isEngine = service.kind === TargetKind.ModelEngine;
  const fields = isEngine ? FIELDS_OF_PLAIN_SERVICES : FIELDS_OF_ENGINES;
  return fields
    .filter((field) => service[field] !== undefined)
    .map((field) => ({
      failure: DOES_NOT_APPLY.of({ field, kind: service.kind }),
      path: [...path, field],
      atKey: true,
    }));
}

function modelsMissing(service: ValidatedService, path: ServicePath): UnlocatedFault[] {
  if (service.kind !== TargetKind.ModelEngine || (service.models?.length ?? 0) > 0) return [];
  return [{ failure: TOO_FEW.of({ min: 1 }), path: [...path, 'models'], atKey: true }];
}

function floorTooHigh(service: ValidatedService, path: ServicePath): UnlocatedFault[] {
  const serving = servingTargets(service);
  if (service.floor === undefined || service.floor <= serving) return [];
  const data = { floorTargets: service.floor, servingTargets: serving };
  return [{ failure: FLOOR_TOO_HIGH.of(data), path: [...path, 'floor'], atKey: false }];
}
