/**
 * The policy of a model service at one entry: the library's fair queue in front of its router, fed
 * by load reports and by what becomes of this entry's own requests.
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
  noteAnswer,
  noteArrival,
  noteDispatch,
  noteEnd,
  noteLoad,
  noteOutlierTargets,
  noteTargetFailure,
  noteTargets,
  offer,
  pump,
  requestCostTokens,
  route,
} from '@cassiamast/coordination';
import { formatAddress } from '../node/address.js';
import type { PrefillPlace } from '../protocol/stream.js';
import { estimateTokens, fingerprintBlocks } from './prompt-blocks.js';
import type { AttemptEnd, Grant, PlaceQuestion, ServicePolicy } from './service-policy.js';

const RETRY_AFTER_MS = 1_000;
/** Answers are wanted however late, so a request waits for half of its time before it is refused. */
const PATIENCE_SHARE = 0.5;

/** What the policy needs. */
export interface ModelPolicyOptions {
  readonly entry: string;
  readonly nowMs: () => number;
  readonly random: Random;
  readonly hash32: Hash32;
  readonly service: () => ServiceSpec;
  /** Weight and limit of a workspace. */
  readonly workspace: (name: string) => {
    readonly share: number;
    readonly maxTokensPerS: number | null;
  };
  readonly latencyMs: (failureDomain: string) => number;
  /** Entries of the deployment, this one among them. */
  readonly entriesAlive: () => number;
  readonly emit: (event: UnstampedEvent) => void;
}

/** The policy with what a model service knows besides. */
export interface ModelPolicy extends ServicePolicy {
  readonly noteLoad: (report: LoadReport) => void;
  readonly setTargets: (targets: readonly TargetInfo[]) => void;
  readonly router: Router;
  readonly meter: DemandMeter;
  readonly queuedRequests: () => number;
  /** While shed, new requests are refused in favour of more important services. */
  readonly setShed: (shed: boolean) => void;
}

interface Waiting {
  readonly question: PlaceQuestion;
  readonly request: RouteRequest;
  readonly arrivedAtMs: number;
}

/** Makes the policy of one model service. */
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
    // Entries that share a target do about what this one does since the last report.
    get peerFactor() {
      const targets = Math.max(1, options.service().targets.length);
      const share = Math.min(1, DEFAULT_ROUTER_OPTIONS.subsetTargets / targets);
      return Math.max(1, options.entriesAlive() * share);
    },
  });
  const admission: Admission<Waiting> = createAdmission({
    ...DEFAULT_ADMISSION_OPTIONS,
    service: name,
  });
  const outliers: Outliers = createOutliers({ ...DEFAULT_OUTLIER_OPTIONS, service: name });
  const meter = createDemandMeter(options.entry, profile, goals.interTokenMs, options.nowMs());
  const rule: StartRule = {
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

  function readerOf(plan: RoutePlan): PrefillPlace | null {
    const spec = plan.kind === RouteKind.Split ? findTarget(plan.reader) : undefined;
    if (spec === undefined) return null;
    const engineUrl = `http://${formatAddress(spec.backend)}`;
    return { sidecar: formatAddress(spec.sidecar), target: plan.reader, engineUrl };
  }

  function toRouteRequest(question: PlaceQuestion): RouteRequest {
    return {
      workspace: question.workspace,
      promptTokens: estimateTokens(question.prompt),
      prefixBlocks: fingerprintBlocks(question.prompt, router.options.blockTokens, options.hash32),
      maxOutputTokens: question.maxOutputTokens,
      excluded: new Set(),
    };
  }

  /** Where it would go now; the targets that failed it are tried again only if no other serves. */
  function decide(request: RouteRequest, avoidTargets: readonly string[]): RoutePlan | null {
    const nowMs = options.nowMs();
    const ejected = excludedTargets(outliers, nowMs, options.random);
    const strict = { ...request, excluded: new Set([...ejected, ...avoidTargets]) };
    for (const tried of [strict, { ...request, excluded: ejected }, request]) {
      const decision = route(router, tried, nowMs, options.random);
      if (decision.kind !== RouteKind.None) return decision;
    }
    return null;
  }

  function trySend(waiting: Waiting, place: FairWaiting<Waiting>): PumpResult {
    const { question, request } = waiting;
    if (!question.isWanted()) return PumpResult.Sent;
    const plan = decide(request, question.avoidTargets);
    if (plan === null) return PumpResult.Wait;
    const waitedMs = options.nowMs() - waiting.arrivedAtMs;
    // A request that missed its goal while it waited is still wanted: it goes as soon as it would
    // if it came now, and does not hold up the ones behind it.
    const countedMs = waitedMs > rule.firstTokenGoalMs ? 0 : waitedMs;
    const borrows = isBorrowing(admission.queue, place);
    if (!mayStart(rule, plan, countedMs, borrows)) return PumpResult.Wait;
    const writer = placeOf(plan.writer);
    if (writer === null) return PumpResult.Wait;
    noteDispatch(router, plan, request, options.nowMs());
    const { predictedFirstTokenMs } = plan;
    const grant: Grant = { place: writer, reader: readerOf(plan), predictedFirstTokenMs };
    question.onGrant(grant);
    return PumpResult.Sent;
  }

  function pumpNow(): void {
    const expired = pump(admission, options.nowMs(), trySend);
    for (const { item, failure } of expired) {
      item.question.onRefusal(failure.message, failure.data.retryAfterMs);
    }
  }

  function ask(question: PlaceQuestion): void {
    const request = toRouteRequest(question);
    const outputTokens = expectedOutputTokens(
      router.lengths,
      question.workspace,
      request.promptTokens,
      question.maxOutputTokens,
    );
    noteArrival(meter, {
      promptTokens: request.promptTokens,
      prefillTokens: request.promptTokens * router.unreadShare,
      expectedOutputTokens: outputTokens,
    });
    if (router.live.length === 0) {
      question.onRefusal(`no target of ${name} takes work`, RETRY_AFTER_MS);
      return;
    }
    const { share, maxTokensPerS } = options.workspace(question.workspace);
    const nowMs = options.nowMs();
    const refused = offer(
      admission,
      {
        workspace: question.workspace,
        weight: share,
        maxTokensPerS,
        costTokens: requestCostTokens(request.promptTokens, outputTokens),
        patienceMs: question.remainingMs * PATIENCE_SHARE,
        item: { question, request, arrivedAtMs: nowMs },
      },
      nowMs,
    );
    if (refused === null) pumpNow();
    else question.onRefusal(refused.message, refused.data.retryAfterMs);
  }

  function noteAttemptEnd(end: AttemptEnd): void {
    const nowMs = options.nowMs();
    const { target, workspace, promptTokens, outputTokens, whole } = end;
    noteEnd(router, { target, workspace, promptTokens, outputTokens, whole }, nowMs);
    if (end.failed) noteTargetFailure(outliers, target, nowMs).forEach(options.emit);
    else if (end.firstTokenMs !== null && end.predictedFirstTokenMs !== null) {
      const slowness = end.firstTokenMs / Math.max(1, end.predictedFirstTokenMs);
      noteAnswer(outliers, target, slowness, nowMs).forEach(options.emit);
    }
    pumpNow();
  }

  return {
    router,
    meter,
    ask,
    pump: pumpNow,
    noteEnd: noteAttemptEnd,
    pickAlone: (avoidTargets) => {
      const request = { workspace: '', promptTokens: 0, prefixBlocks: [], maxOutputTokens: 1 };
      const plan = decide({ ...request, excluded: new Set() }, avoidTargets);
      return plan === null ? null : placeOf(plan.writer);
    },
    subset: () => router.subset.map((view) => view.name),
    noteLoad: (report) => {
      noteLoad(router, report);
      pumpNow();
    },
    setTargets: (targets) => {
      noteTargets(router, targets);
      noteOutlierTargets(
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
