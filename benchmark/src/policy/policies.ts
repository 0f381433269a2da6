/** The policies that are compared: ours, its earlier versions and the usual ones. */
import {
  createRolePlanner,
  DEFAULT_ENGINE_PROFILE,
  DEFAULT_PLANNER_OPTIONS,
  DEFAULT_START_SLACK,
  EngineRole,
  planRoles,
  randomBelow,
  route,
  RouteKind,
} from '@cassiamast/coordination';
import type {
  PlannerOptions,
  PlannerView,
  RouteDecision,
  RouteRequest,
  StartRule,
  RoleOrder,
} from '@cassiamast/coordination';
import type { ChooseRoute, Entry, PlanRoles, Policy } from './policy.js';
import { FIRST_TOKEN_GOAL_MS, INTER_TOKEN_GOAL_MS } from './statistics.js';

const START_RULE: StartRule = {
  firstTokenGoalMs: FIRST_TOKEN_GOAL_MS,
  interTokenGoalMs: INTER_TOKEN_GOAL_MS,
  ...DEFAULT_START_SLACK,
};

/** How long a request may wait at the entry and still begin in time. */
const PATIENCE_MS = 300;

const ourRoute: ChooseRoute = (entry, request, nowMs) =>
  route(entry.router, request, nowMs, entry.random);

function plannerWith(options: Partial<PlannerOptions>): (service: string) => PlanRoles {
  return (service) => {
    const planner = createRolePlanner({
      ...DEFAULT_PLANNER_OPTIONS,
      ...options,
      service,
      profile: DEFAULT_ENGINE_PROFILE,
      floorTargets: 1,
    });
    return (view, nowMs) => planRoles(planner, view, nowMs).orders;
  };
}

/** Ours, as the daemon runs it. */
export const OURS: Policy = {
  name: 'ours',
  chooseRoute: ourRoute,
  startRule: START_RULE,
  patienceMs: PATIENCE_MS,
  routerOptions: {},
  makePlanner: plannerWith({}),
  movesAnswers: true,
  initialReaders: null,
};

/** Our first version: counts only its own dispatches, changes eagerly, drains by waiting. */
const OURS_V1: Policy = {
  ...OURS,
  name: 'ours-v1',
  startRule: { ...START_RULE, stepSlack: 1 },
  routerOptions: { peerFactor: 1 },
  makePlanner: plannerWith({ minGainShare: 0.01, margin: 1.5, maxChangingShare: 0.13 }),
  movesAnswers: false,
};

/** Our second version: eager changes, and writers drain by finishing what they write. */
const OURS_V2: Policy = {
  ...OURS,
  name: 'ours-v2',
  makePlanner: plannerWith({ minGainShare: 0.01, maxChangingShare: 0.13 }),
  movesAnswers: false,
};

/** Our routing with roles that never change: one of the fixed splits to search over. */
export function fixedSplit(readers: number): Policy {
  return { ...OURS, name: `fixed-${String(readers)}`, makePlanner: null, initialReaders: readers };
}

/** Chooses a reader and a writer with the same plain rule. */
function plainRoute(pick: (entry: Entry, names: readonly string[]) => string): ChooseRoute {
  return (entry, request) => {
    const { prefillTargets, decodeTargets } = entry.router;
    if (decodeTargets.length === 0) return { kind: RouteKind.None };
    const writer = pick(entry, namesOf(decodeTargets, request));
    if (prefillTargets.length === 0) return plainPlan(writer, writer, request);
    return plainPlan(pick(entry, namesOf(prefillTargets, request)), writer, request);
  };
}

function namesOf(
  views: readonly { readonly name: string }[],
  request: RouteRequest,
): readonly string[] {
  const names = views.map((view) => view.name);
  const allowed = names.filter((name) => !request.excluded.has(name));
  return allowed.length > 0 ? allowed : names;
}

function plainPlan(reader: string, writer: string, request: RouteRequest): RouteDecision {
  return {
    kind: reader === writer ? RouteKind.Whole : RouteKind.Split,
    reader,
    writer,
    predictedFirstTokenMs: 0,
    predictedReadMs: 0,
    predictedStepMs: 0,
    memoryShort: false,
    prefillTokens: request.promptTokens,
    expectedOutputTokens: 0,
  };
}

function pickRandom(entry: Entry, names: readonly string[]): string {
  return names[randomBelow(entry.random, names.length)] ?? '';
}

function pickInTurn(entry: Entry, names: readonly string[]): string {
  entry.turn += 1;
  return names[Math.floor(entry.turn / 2) % names.length] ?? '';
}

function pickLeastLoad(entry: Entry, names: readonly string[]): string {
  const loadOf = (name: string): number => {
    const report = entry.router.views.get(name)?.report;
    return (report?.runningRequests ?? 0) + (report?.waitingRequests ?? 0);
  };
  return names.reduce((best, name) => (loadOf(name) < loadOf(best) ? name : best), names[0] ?? '');
}

function plainPolicy(name: string, chooseRoute: ChooseRoute): Policy {
  return { ...OURS, name, chooseRoute, startRule: null, makePlanner: null };
}

/** How often the greedy planner may change a role. */
const GREEDY_PAUSE_MS = 5000;

/** Waiting prompt tokens per reader from which the greedy planner wants one more. */
const GREEDY_HIGH_TOKENS = 6000;

/** Answers per writer from which the greedy planner wants one more writer. */
const GREEDY_HIGH_ANSWERS = 110;

/** Changes a role whenever the latest reports show one phase busy and the other not. */
function greedyPlanner(): PlanRoles {
  let lastMs = -GREEDY_PAUSE_MS;
  return (view, nowMs) => {
    if (nowMs - lastMs < GREEDY_PAUSE_MS) return [];
    const order = greedyOrder(view);
    if (order === null) return [];
    lastMs = nowMs;
    return [order];
  };
}

function greedyOrder(view: PlannerView): RoleOrder | null {
  const serving = view.targets.filter((target) => target.accepting && target.report !== null);
  const readers = serving.filter((target) => target.role === EngineRole.Prefill);
  const writers = serving.filter((target) => target.role !== EngineRole.Prefill);
  const waiting = mean(readers.map((target) => target.report?.waitingPrefillTokens ?? 0));
  const answers = mean(writers.map((target) => target.report?.runningRequests ?? 0));
  const [firstReader] = readers;
  const [firstWriter] = writers;
  if (waiting > GREEDY_HIGH_TOKENS && answers < GREEDY_HIGH_ANSWERS && writers.length > 1) {
    return firstWriter === undefined
      ? null
      : { target: firstWriter.name, role: EngineRole.Prefill };
  }
  if (answers > GREEDY_HIGH_ANSWERS && waiting < GREEDY_HIGH_TOKENS && firstReader !== undefined) {
    return { target: firstReader.name, role: EngineRole.Decode };
  }
  return null;
}

function mean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** The policies other than the fixed splits and the bound. */
export const POLICIES: readonly Policy[] = [
  plainPolicy('random', plainRoute(pickRandom)),
  plainPolicy('round-robin', plainRoute(pickInTurn)),
  plainPolicy('least-load', plainRoute(pickLeastLoad)),
  { ...OURS, name: 'greedy', makePlanner: () => greedyPlanner() },
  OURS_V1,
  OURS_V2,
  OURS,
];
