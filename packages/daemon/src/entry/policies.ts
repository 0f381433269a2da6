/** The policies of all services in force, made and dropped as the configuration changes. */
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
import type { PlaceQuestion, ServicePolicy } from './service-policy.js';
import type { TargetDirectory } from './target-directory.js';

/** Within a failure domain, and to another one; the deployments' own figures. */
const SAME_DOMAIN_MS = 0.2;
const OTHER_DOMAIN_MS = 1.5;
const GONE_RETRY_MS = 1_000;
const DEFAULT_SHARE = 1;

/** What the policies need. */
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

/** The policies of an entry. */
export interface Policies {
  readonly of: (service: string) => ServicePolicy;
  readonly models: () => ReadonlyMap<string, ModelPolicy>;
  readonly noteLoad: (report: LoadReport) => void;
  /** To be called when the configuration, a member or the VM list changed. */
  readonly refresh: () => void;
  readonly pump: () => void;
  /** Sheds the services of lowest priority at this part, 0 to 1, of the entry's deliveries. */
  readonly shed: (pressure: number) => void;
}

/** Makes the policies. */
export function createPolicies(options: PoliciesOptions): Policies {
  const models = new Map<string, ModelPolicy>();
  const plains = new Map<string, ServicePolicy>();
  /** Services that wait for a dependency, with the policy that says so. */
  const waiting = new Map<string, ServicePolicy>();

  function specs(): readonly ServiceSpec[] {
    return options.configuration()?.services ?? [];
  }

  function workspace(name: string): { share: number; maxTokensPerS: number | null } {
    const found = options.configuration()?.workspaces.find((spec) => spec.name === name);
    return {
      share: found?.share ?? DEFAULT_SHARE,
      maxTokensPerS: found?.maxTokensPerS ?? null,
    };
  }

  function makeModel(spec: ServiceSpec): ModelPolicy {
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

  function makePlain(spec: ServiceSpec): ServicePolicy {
    return createPlainPolicy({
      service: spec.name,
      random: options.random,
      openTargets: () => options.directory.open(spec.name),
    });
  }

  function refresh(): void {
    const names = new Set(specs().map((spec) => spec.name));
    for (const name of models.keys()) if (!names.has(name)) models.delete(name);
    for (const name of plains.keys()) if (!names.has(name)) plains.delete(name);
    for (const spec of specs()) {
      if (spec.kind === TargetKind.PlainService) {
        if (!plains.has(spec.name)) plains.set(spec.name, makePlain(spec));
        continue;
      }
      const policy = models.get(spec.name) ?? makeModel(spec);
      models.set(spec.name, policy);
      policy.setTargets(options.directory.infos(spec.name));
    }
    refreshReadiness();
  }

  /**
   * A service whose dependency has no target is refused at once: its requests would use a target
   * and fail at the dependency.
   */
  function refreshReadiness(): void {
    waiting.clear();
    const serving = (name: string): number => options.directory.open(name).length;
    for (const [name, readiness] of readinessOf(specs(), serving)) {
      if (readiness.ready || readiness.cause === UnreadyCause.NoTarget) continue;
      waiting.set(name, refusingPolicy(`it depends on ${readiness.service}, which is not ready`));
    }
  }

  return {
    of: (service) =>
      waiting.get(service) ?? models.get(service) ?? plains.get(service) ?? REMOVED_SERVICE,
    models: () => models,
    noteLoad: (report) => {
      for (const policy of models.values()) policy.noteLoad(report);
    },
    refresh,
    shed: (pressure) => {
      const shed = servicesToShed(effectivePriorities(specs()), pressure);
      for (const [name, policy] of models) policy.setShed(shed.has(name));
    },
    pump: () => {
      for (const policy of models.values()) policy.pump();
    },
  };
}

/** Refuses every attempt, for a reason that passes. */
function refusingPolicy(reason: string): ServicePolicy {
  return {
    ask: (question: PlaceQuestion) => {
      question.onRefusal(reason, GONE_RETRY_MS);
    },
    pickAlone: () => null,
    noteEnd: () => undefined,
    pump: () => undefined,
    subset: () => [],
  };
}

/** A service that an edit removed: running requests end, new attempts are refused. */
const REMOVED_SERVICE = refusingPolicy('the service was removed from the configuration');
