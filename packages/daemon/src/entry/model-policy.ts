/**
 * The policy of a model service at one entry: a fair queue in front of the router. Load reports and
 * the outcomes of this entry's own requests update the router's view of the targets.
 */
import {
  type Admission,
  DEFAULT_ADMISSION_OPTIONS,
  DEFAULT_ENGINE_PROFILE,
  DEFAULT_OUTLIER_OPTIONS,
  DEFAULT_ROUTER_OPTIONS,
  DEFAULT_START_SLACK,
  type DemandMeter,
  type EngineProfile,
  type FairWaiting,
  type LoadReport,
  type Outliers,
  type Place,
  PumpResult,
  type Random,
  RouteKind,
  type RoutePlan,
  type RouteRequest,
  type Router,
  type ServiceSpec,
  type StartRule,
  type TargetInfo,
  type TargetSpec,
  type UnstampedEvent,
  createAdmission,
  createDemandMeter,
  createOutliers,
  createRouter,
  excludedTargets,
  expectedOutputTokens,
  type Hash32,
  isBorrowing,
  mayStart,
  recordTargetAnswer,
  recordArrival,
  recordDispatch,
  recordAnswerEnd,
  applyLoadReport,
  setOutlierTargets,
  recordTargetFailure,
  updateTargets,
  offer,
  pump,
  requestCostTokens,
  route,
} from '@cassiamast/coordination';
import { formatAddress } from '../node/address.js';
import type { PrefillLocation } from '../protocol/stream.js';
import { estimateTokens, fingerprintBlocks } from './prompt-blocks.js';
import type { AttemptEnd, Grant, PlacementRequest, ServicePolicy } from './service-policy.js';

const RETRY_AFTER_MS = 1_000;
/**
 * A late answer is still useful, so a request may spend half of its remaining time in the queue
 * before it is rejected.
 */
const MAX_QUEUE_WAIT_SHARE = 0.5;

/** Options of the model policy. */
export interface ModelPolicyOptions {
  readonly entry: string;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly hash32: Hash32;
  readonly service: () => ServiceSpec;
  /** Returns the fair-queue weight and the rate limit of a workspace. */
  readonly workspace: (name: string) => {
    readonly share: number;
    readonly maxTokensPerS: number | null;
  };
  readonly latencyMs: (failureDomain: string) => number;
  /** Number of live entries of the deployment, including this one. */
  readonly entriesAlive: () => number;
  readonly emit: (event: UnstampedEvent) => void;
}

/** The policy of a model service with its router and demand meter. */
export interface ModelPolicy extends ServicePolicy {
  readonly acceptLoadReport: (report: LoadReport) => void;
  readonly setTargets: (targets: readonly TargetInfo[]) => void;
  readonly router: Router;
  readonly meter: DemandMeter;
  readonly queuedRequests: () => number;
  /** While shed, new requests are rejected in favour of more important services. */
  readonly setShed: (shed: boolean) => void;
}

interface QueuedPlacement {
  readonly placement: PlacementRequest;
  readonly request: RouteRequest;
  readonly arrivedAtMs: number;
}

/** Creates the policy of one model service. */
export function createModelPolicy(options: ModelPolicyOptions): ModelPolicy {
  const profile: EngineProfile = DEFAULT_ENGINE_PROFILE;
  const { goals, name } = options.service();
  const router = createRouter({
    ...DEFAULT_ROUTER_OPTIONS,
    entry: options.entry,
    profile,
    hash32: options.hash32,
    firstTokenGoalMs: goals.firstTokenMs,
    interTokenGoalMs: goals.interTokenMs,
    latencyMs: options.latencyMs,
    // Assumes that other entries sharing a target have dispatched to it at the same rate as this
    // entry since the last report.
    get peerFactor() {
      const targets = Math.max(1, options.service().targets.length);
      const share = Math.min(1, DEFAULT_ROUTER_OPTIONS.subsetTargets / targets);
      return Math.max(1, options.entriesAlive() * share);
    },
  });
  const admission: Admission<QueuedPlacement> = createAdmission({
    ...DEFAULT_ADMISSION_OPTIONS,
    service: name,
  });
  const outliers: Outliers = createOutliers({ ...DEFAULT_OUTLIER_OPTIONS, service: name });
  const meter = createDemandMeter(options.entry, profile, goals.interTokenMs, options.nowMs());
  const startRule: StartRule = {
    ...DEFAULT_START_SLACK,
    firstTokenGoalMs: goals.firstTokenMs,
    interTokenGoalMs: goals.interTokenMs,
  };

  function findTarget(target: string): TargetSpec | undefined {
    return options.service().targets.find((candidate) => candidate.name === target);
  }

  function placeOf(target: string): Place | null {
    const spec = findTarget(target);
    return spec === undefined ? null : { sidecar: formatAddress(spec.sidecar), target };
  }

  function prefillPlaceOf(plan: RoutePlan): PrefillLocation | null {
    const spec = plan.kind === RouteKind.Split ? findTarget(plan.reader) : undefined;
    if (spec === undefined) return null;
    const engineUrl = `http://${formatAddress(spec.backend)}`;
    return { sidecar: formatAddress(spec.sidecar), target: plan.reader, engineUrl };
  }

  function toRouteRequest(placement: PlacementRequest): RouteRequest {
    return {
      workspace: placement.workspace,
      promptTokens: estimateTokens(placement.prompt),
      prefixBlocks: fingerprintBlocks(placement.prompt, router.options.blockTokens, options.hash32),
      maxOutputTokens: placement.maxOutputTokens,
      excluded: new Set(),
    };
  }

  /**
   * Routes a request. Targets that failed it are used again only when no other target is available,
   * and ejected targets only as the last resort.
   */
  function planRoute(request: RouteRequest, avoidTargets: readonly string[]): RoutePlan | null {
    const nowMs = options.nowMs();
    const ejected = excludedTargets(outliers, nowMs, options.random);
    const preferredRequest = { ...request, excluded: new Set([...ejected, ...avoidTargets]) };
    for (const routeRequest of [preferredRequest, { ...request, excluded: ejected }, request]) {
      const decision = route(router, routeRequest, nowMs, options.random);
      if (decision.kind !== RouteKind.None) return decision;
    }
    return null;
  }

  function tryGrant(queued: QueuedPlacement, place: FairWaiting<QueuedPlacement>): PumpResult {
    const { placement, request } = queued;
    if (!placement.isWanted()) return PumpResult.Sent;
    const plan = planRoute(request, placement.avoidTargets);
    if (plan === null) return PumpResult.Wait;
    const waitedMs = options.nowMs() - queued.arrivedAtMs;
    // A request that missed its latency goal in the queue is started under the same rule as one
    // that has just arrived, so it does not cause head-of-line blocking.
    const consideredWaitMs = waitedMs > startRule.firstTokenGoalMs ? 0 : waitedMs;
    const isBorrower = isBorrowing(admission.queue, place);
    if (!mayStart(startRule, plan, consideredWaitMs, isBorrower)) return PumpResult.Wait;
    const decodePlace = placeOf(plan.writer);
    if (decodePlace === null) return PumpResult.Wait;
    recordDispatch(router, plan, request, options.nowMs());
    const { predictedFirstTokenMs } = plan;
    const grant: Grant = {
      place: decodePlace,
      reader: prefillPlaceOf(plan),
      predictedFirstTokenMs,
    };
    placement.onGrant(grant);
    return PumpResult.Sent;
  }

  function pumpNow(): void {
    const expired = pump(admission, options.nowMs(), tryGrant);
    for (const { item, failure } of expired) {
      item.placement.onRefusal(failure.message, failure.data.retryAfterMs);
    }
  }

  function requestPlacement(placement: PlacementRequest): void {
    const request = toRouteRequest(placement);
    const outputTokens = expectedOutputTokens(
      router.lengths,
      placement.workspace,
      request.promptTokens,
      placement.maxOutputTokens,
    );
    recordArrival(meter, {
      promptTokens: request.promptTokens,
      prefillTokens: request.promptTokens * router.uncachedShare,
      expectedOutputTokens: outputTokens,
    });
    if (router.acceptingTargets.length === 0) {
      placement.onRefusal(`no target of ${name} takes work`, RETRY_AFTER_MS);
      return;
    }
    const { share, maxTokensPerS } = options.workspace(placement.workspace);
    const nowMs = options.nowMs();
    const rejection = offer(
      admission,
      {
        workspace: placement.workspace,
        weight: share,
        maxTokensPerS,
        costTokens: requestCostTokens(request.promptTokens, outputTokens),
        maxWaitMs: placement.remainingMs * MAX_QUEUE_WAIT_SHARE,
        item: { placement, request, arrivedAtMs: nowMs },
      },
      nowMs,
    );
    if (rejection === null) pumpNow();
    else placement.onRefusal(rejection.message, rejection.data.retryAfterMs);
  }

  function handleAttemptEnd(end: AttemptEnd): void {
    const nowMs = options.nowMs();
    const { target, workspace, promptTokens, outputTokens, whole } = end;
    recordAnswerEnd(router, { target, workspace, promptTokens, outputTokens, whole }, nowMs);
    if (end.failed) recordTargetFailure(outliers, target, nowMs).forEach(options.emit);
    else if (end.firstTokenMs !== null && end.predictedFirstTokenMs !== null) {
      const slowness = end.firstTokenMs / Math.max(1, end.predictedFirstTokenMs);
      recordTargetAnswer(outliers, target, slowness, nowMs).forEach(options.emit);
    }
    pumpNow();
  }

  return {
    router,
    meter,
    requestPlacement,
    pump: pumpNow,
    recordAttemptEnd: handleAttemptEnd,
    pickForLoneRun: (avoidTargets) => {
      const request = { workspace: '', promptTokens: 0, prefixBlocks: [], maxOutputTokens: 1 };
      const plan = planRoute({ ...request, excluded: new Set() }, avoidTargets);
      return plan === null ? null : placeOf(plan.writer);
    },
    subset: () => router.subset.map((view) => view.name),
    acceptLoadReport: (report) => {
      applyLoadReport(router, report);
      pumpNow();
    },
    setTargets: (targets) => {
      updateTargets(router, targets);
      setOutlierTargets(
        outliers,
        targets.map((target) => target.name),
      );
      pumpNow();
    },
    setShed: (shed) => {
      admission.shed = shed;
    },
    queuedRequests: () => admission.queue.heap.length,
  };
}
