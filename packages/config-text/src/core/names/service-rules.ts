/**
 * Checks rules within one service: which fields apply to its kind, which fields its kind requires
 * and whether its floor can be met.
 */
import { TargetKind } from '@cassiamast/coordination';
import type { UnlocatedFault } from '../faults/fault.js';
import { DOES_NOT_APPLY, FLOOR_TOO_HIGH, TOO_FEW } from '../faults/failures.js';
import type { ValidatedService } from '../schema/schema.js';

/** Default share of a service's targets that must keep serving during planned changes. */
const DEFAULT_FLOOR_RATIO = 0.75;

const ENGINE_ONLY_FIELDS = ['models', 'rolesMayChange', 'checksFencing'] as const;
const PLAIN_SERVICE_ONLY_FIELDS = ['calls'] as const;

/** Counts the targets of a service that are not withdrawn. */
export function countServingTargets(service: ValidatedService): number {
  return service.targets.filter(({ withdrawn }) => !withdrawn).length;
}

/**
 * Returns the floor for a service without one: three quarters of the targets, rounded down, but at
 * least one if there is any.
 */
export function defaultFloor(targets: number): number {
  return Math.min(targets, Math.max(1, Math.floor(targets * DEFAULT_FLOOR_RATIO)));
}

/** Returns the rule faults of the service at `index` in the list of services. */
export function serviceFaults(service: ValidatedService, index: number): UnlocatedFault[] {
  const path = ['services', index];
  return [
    ...inapplicableFields(service, path),
    ...missingModels(service, path),
    ...floorTooHigh(service, path),
  ];
}

type ServicePath = (string | number)[];

function inapplicableFields(service: ValidatedService, path: ServicePath): UnlocatedFault[] {
  const isEngine = service.kind === TargetKind.ModelEngine;
  const fields = isEngine ? PLAIN_SERVICE_ONLY_FIELDS : ENGINE_ONLY_FIELDS;
  return fields
    .filter((field) => service[field] !== undefined)
    .map((field) => ({
      failure: DOES_NOT_APPLY.of({ field, kind: service.kind }),
      path: [...path, field],
      atKey: true,
    }));
}

function missingModels(service: ValidatedService, path: ServicePath): UnlocatedFault[] {
  if (service.kind !== TargetKind.ModelEngine || (service.models?.length ?? 0) > 0) return [];
  return [{ failure: TOO_FEW.of({ min: 1 }), path: [...path, 'models'], atKey: true }];
}

function floorTooHigh(service: ValidatedService, path: ServicePath): UnlocatedFault[] {
  const serving = countServingTargets(service);
  if (service.floor === undefined || service.floor <= serving) return [];
  const data = { floorTargets: service.floor, servingTargets: serving };
  return [{ failure: FLOOR_TOO_HIGH.of(data), path: [...path, 'floor'], atKey: false }];
}
