/** Maintains one policy per configured service and updates them when the configuration changes. */
import {
  type Configuration,
  type Hash32,
  type LoadReport,
  type Random,
  type ServiceSpec,
  TargetKind,
  type UnstampedEvent,
  UnreadyCause,
  effectivePriorities,
  readinessOf,
  servicesToShed,
} from '@cassiamast/coordination';
import { type ModelPolicy, createModelPolicy } from './model-policy.js';
import { createPlainPolicy } from './plain-policy.js';
import type { PlacementRequest, ServicePolicy } from './service-policy.js';
import type { TargetDirectory } from './target-directory.js';

/** Network latency within a failure domain and between domains, as specified by the deployments. */
const SAME_DOMAIN_MS = 0.2;
const OTHER_DOMAIN_MS = 1.5;
const RETRY_AFTER_MS = 1_000;
const DEFAULT_SHARE = 1;

/** Options of the policies. */
export interface PoliciesOptions {
  readonly entry: string;
  readonly failureDomain: string;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly hash32: Hash32;
  readonly configuration: () => Configuration | null;
  readonly directory: TargetDirectory;
  readonly entriesAlive: () => number;
  readonly emit: (event: UnstampedEvent) => void;
}

/** The policies of all services at one entry. */
export interface Policies {
  readonly of: (service: string) => ServicePolicy;
  readonly models: () => ReadonlyMap<string, ModelPolicy>;
  readonly acceptLoadReport: (report: LoadReport) => void;
  /** Must be called when the configuration, a member or the VM list changes. */
  readonly refresh: () => void;
  readonly pump: () => void;
  /** Sheds low-priority services; `pressure` is the share (0 to 1) of the request table in use. */
  readonly shed: (pressure: number) => void;
}

/** Creates the policies of one entry. */
export function createPolicies(options: PoliciesOptions): Policies {
  const models = new Map<string, ModelPolicy>();
  const plainPolicies = new Map<string, ServicePolicy>();
  /** Rejecting policies of services whose dependency is not ready, by service. */
  const notReadyPolicies = new Map<string, ServicePolicy>();

  function serviceSpecs(): readonly ServiceSpec[] {
    return options.configuration()?.services ?? [];
  }

  function workspace(name: string): { share: number; maxTokensPerS: number | null } {
    const workspaceSpec = options.configuration()?.workspaces.find((spec) => spec.name === name);
    return {
      share: workspaceSpec?.share ?? DEFAULT_SHARE,
      maxTokensPerS: workspaceSpec?.maxTokensPerS ?? null,
    };
  }

  function createModel(spec: ServiceSpec): ModelPolicy {
    return createModelPolicy({
      entry: options.entry,
      nowMs: options.nowMs,
      random: options.random,
      hash32: options.hash32,
      service: () => options.directory.service(spec.name) ?? spec,
      workspace,
      latencyMs: (domain) => (domain === options.failureDomain ? SAME_DOMAIN_MS : OTHER_DOMAIN_MS),
      entriesAlive: options.entriesAlive,
      emit: options.emit,
    });
  }

  function createPlain(spec: ServiceSpec): ServicePolicy {
    return createPlainPolicy({
      service: spec.name,
      random: options.random,
      openTargets: () => options.directory.open(spec.name),
    });
  }

  function refresh(): void {
    const names = new Set(serviceSpecs().map((spec) => spec.name));
    for (const name of models.keys()) if (!names.has(name)) models.delete(name);
    for (const name of plainPolicies.keys()) if (!names.has(name)) plainPolicies.delete(name);
    for (const spec of serviceSpecs()) {
      if (spec.kind === TargetKind.PlainService) {
        if (!plainPolicies.has(spec.name)) plainPolicies.set(spec.name, createPlain(spec));
        continue;
      }
      const policy = models.get(spec.name) ?? createModel(spec);
      models.set(spec.name, policy);
      policy.setTargets(options.directory.infos(spec.name));
    }
    refreshReadiness();
  }

  /**
   * Rejects requests to services whose dependency has no available target. Such requests would
   * occupy a target and then fail at the dependency.
   */
  function refreshReadiness(): void {
    notReadyPolicies.clear();
    const serving = (name: string): number => options.directory.open(name).length;
    for (const [name, readiness] of readinessOf(serviceSpecs(), serving)) {
      if (readiness.ready || readiness.cause === UnreadyCause.NoTarget) continue;
      notReadyPolicies.set(
        name,
        createRejectingPolicy(`it depends on ${readiness.service}, which is not ready`),
      );
    }
  }

  return {
    of: (service) =>
      notReadyPolicies.get(service) ??
      models.get(service) ??
      plainPolicies.get(service) ??
      REMOVED_SERVICE_POLICY,
    models: () => models,
    acceptLoadReport: (report) => {
      for (const policy of models.values()) policy.acceptLoadReport(report);
    },
    refresh,
    shed: (pressure) => {
      const shed = servicesToShed(effectivePriorities(serviceSpecs()), pressure);
      for (const [name, policy] of models) policy.setShed(shed.has(name));
    },
    pump: () => {
      for (const policy of models.values()) policy.pump();
    },
  };
}

/** Creates a policy that rejects every attempt for a temporary reason. */
function createRejectingPolicy(reason: string): ServicePolicy {
  return {
    requestPlacement: (placement: PlacementRequest) => {
      placement.onRefusal(reason, RETRY_AFTER_MS);
    },
    pickForLoneRun: () => null,
    recordAttemptEnd: () => undefined,
    pump: () => undefined,
    subset: () => [],
  };
}

/** Policy of a service that was removed: running requests complete, new attempts are rejected. */
const REMOVED_SERVICE_POLICY = createRejectingPolicy(
  'the service was removed from the configuration',
);
