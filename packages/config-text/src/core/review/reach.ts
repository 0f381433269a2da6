/**
 * Finds entries that no request can reach: models that the lookup by name never returns, services
 * whose dependencies are withdrawn, and withdrawals that no floor holds back.
 */
import { readinessOf, UnreadyCause } from '@cassiamast/coordination';
import { countServingTargets, defaultFloor } from '../names/service-rules.js';
import {
  DEPENDENCY_WITHDRAWN,
  MODEL_NOT_CALLABLE,
  MODEL_SHADOWED,
  WITHDRAWN_BELOW_FLOOR,
} from './failures.js';
import type { ReviewRule, UnlocatedFinding } from './finding.js';

/** Separates model and adapter in a request. */
const ADAPTER_SEPARATOR = ':';

/** Finds models whose name an entry would read as a model and an adapter. */
export const modelsNotCallable: ReviewRule = ({ services }) =>
  services.flatMap(({ models = [] }, index) =>
    models.flatMap(({ name: model }, position): UnlocatedFinding[] => {
      if (!model.includes(ADAPTER_SEPARATOR)) return [];
      const path = ['services', index, 'models', position, 'name'];
      return [{ failure: MODEL_NOT_CALLABLE.of({ model }), paths: [path] }];
    }),
  );

/**
 * Finds models that are shadowed: an entry takes the first service that provides the model, or the
 * model with the adapter if the request names one.
 */
export const modelsShadowed: ReviewRule = ({ services }) => {
  const firstServices = new Map<string, string>();
  return services.flatMap((service, index) =>
    (service.models ?? []).flatMap(({ name: model, adapters }, position): UnlocatedFinding[] => {
      const callNames = [model, ...adapters.map((adapter) => model + ADAPTER_SEPARATOR + adapter)];
      const first = firstServices.get(model);
      const isShadowed = callNames.every((name) => firstServices.has(name));
      for (const name of callNames) {
        if (!firstServices.has(name)) firstServices.set(name, service.name);
      }
      if (!isShadowed || first === undefined) return [];
      const path = ['services', index, 'models', position, 'name'];
      return [{ failure: MODEL_SHADOWED.of({ model, first }), paths: [path] }];
    }),
  );
};

/** Finds services that are never ready, by the same readiness as an entry determines. */
export const dependenciesWithdrawn: ReviewRule = ({ services }) => {
  const servingTargets = new Map(
    services.map((service) => [service.name, countServingTargets(service)]),
  );
  const readiness = readinessOf(services, (name) => servingTargets.get(name) ?? 0);
  return services.flatMap(({ name: service, dependsOn }, index): UnlocatedFinding[] => {
    const state = readiness.get(service);
    if (state === undefined || state.ready || state.cause !== UnreadyCause.Dependency) return [];
    const position = dependsOn.findIndex((name) => readiness.get(name)?.ready === false);
    const failure = DEPENDENCY_WITHDRAWN.of({ service, withdrawn: state.service });
    return [{ failure, paths: [['services', index, 'dependsOn', position]] }];
  });
};

/**
 * Finds services without a stated floor whose withdrawn targets leave fewer than the default floor
 * of all targets. The default floor counts only targets in service and follows each withdrawal, so
 * that nothing else notices. A stated floor that is not met is a fault.
 */
export const withdrawnBelowFloor: ReviewRule = ({ services }) =>
  services.flatMap((service, index): UnlocatedFinding[] => {
    const targets = service.targets.length;
    const servingTargets = countServingTargets(service);
    const floorTargets = defaultFloor(targets);
    if (service.floor !== undefined || servingTargets >= floorTargets) return [];
    const position = service.targets.findIndex(({ withdrawn }) => withdrawn);
    const failure = WITHDRAWN_BELOW_FLOOR.of({ servingTargets, targets, floorTargets });
    return [{ failure, paths: [['services', index, 'targets', position, 'withdrawn']] }];
  });
