/**
 * Cost of one decision as targets and workspaces grow: microseconds and bytes allocated per call,
 * and bytes of state. Times are this machine's; the ratios between the rows are what matters.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import {
  createRouter,
  DEFAULT_ENGINE_PROFILE,
  DEFAULT_ROUTER_OPTIONS,
  EngineRole,
  recordDispatch,
  recordAnswerEnd,
  applyLoadReport,
  updateTargets,
  route,
  RouteKind,
  seededRandom,
} from '@cassiamast/coordination';
import type { Hash32, LoadReport, RouteRequest, Router } from '@cassiamast/coordination';

const TARGETS = [11, 110, 730];
const WORKSPACES = [10, 960];
const WARM_UP = 20_000;
const MEASURED = 50_000;

/** Few enough that their garbage fits the young generation: none is collected in between. */
const MEASURED_FOR_BYTES = 200;

/** Dispatches between two reports of a target at eight a second, three entries and two a second. */
const DISPATCHES_PER_REPORT = 3;

/** Targets that are readers, as at the target size. */
const READER_SHARE = 0.27;

/** Blocks of a prompt's prefix: 768 tokens. */
const PREFIX_BLOCKS = 3;

/** Measures route and dispatch; gives a table. */
export function measureCosts(hash32: Hash32): string {
  const lines = ['targets workspaces  us/decision  bytes/decision  state bytes'];
  for (const targets of TARGETS) {
    for (const workspaces of WORKSPACES) lines.push(measure(hash32, targets, workspaces));
  }
  return `${lines.join('\n')}\n`;
}

function measure(hash32: Hash32, targets: number, workspaces: number): string {
  const collect = garbageCollector();
  const emptyBytes = heapBytes(collect);
  const router = loadedRouter(hash32, targets);
  const random = seededRandom(1);
  const requests = Array.from({ length: workspaces }, (_, index) => requestOf(index));
  decide(router, requests, random, WARM_UP);
  const startNs = process.hrtime.bigint();
  decide(router, requests, random, MEASURED);
  const spentUs = Number(process.hrtime.bigint() - startNs) / 1000;
  const stateBytes = heapBytes(collect) - emptyBytes;
  const bytesBefore = process.memoryUsage().heapUsed;
  decide(router, requests, random, MEASURED_FOR_BYTES);
  const decisionBytes = process.memoryUsage().heapUsed - bytesBefore;
  const cells = [
    String(targets).padStart(7),
    String(workspaces).padStart(10),
    (spentUs / MEASURED).toFixed(2).padStart(12),
    (decisionBytes / MEASURED_FOR_BYTES).toFixed(0).padStart(15),
    String(stateBytes).padStart(12),
  ];
  return cells.join(' ');
}

function garbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

function heapBytes(collect: () => void): number {
  collect();
  return process.memoryUsage().heapUsed;
}

function report(target: string, role: EngineRole, atMs: number): LoadReport {
  return {
    target,
    atMs,
    sequence: atMs + 1,
    epoch: '0',
    role,
    accepting: true,
    runningRequests: 100,
    waitingRequests: 2,
    waitingPrefillTokens: 2000,
    runningContextTokens: 200_000,
    kvUsedTokens: 200_000,
    kvCapacityTokens: 800_000,
    stepMs: 40,
  };
}

function loadedRouter(hash32: Hash32, targets: number): Router {
  const router = createRouter({
    ...DEFAULT_ROUTER_OPTIONS,
    entry: 'entry-0',
    profile: DEFAULT_ENGINE_PROFILE,
    hash32,
    latencyMs: () => 1,
  });
  const infos = Array.from({ length: targets }, (_, index) => ({
    name: `target-${String(index)}`,
    failureDomain: `domain-${String(index % 7)}`,
    role: (index % 11) / 11 < READER_SHARE ? EngineRole.Prefill : EngineRole.Decode,
    accepting: true,
  }));
  updateTargets(router, infos);
  for (const info of infos) applyLoadReport(router, report(info.name, info.role, 0));
  return router;
}

function requestOf(index: number): RouteRequest {
  return {
    workspace: `workspace-${String(index)}`,
    promptTokens: 1900,
    prefixBlocks: Array.from(
      { length: PREFIX_BLOCKS },
      (_, block) => `prefix-${String(index)}-${String(block)}`,
    ),
    maxOutputTokens: 2000,
    excluded: new Set(),
  };
}

function decide(
  router: Router,
  requests: readonly RouteRequest[],
  random: () => number,
  times: number,
): void {
  for (let turn = 0; turn < times; turn += 1) {
    const request = requests[turn % requests.length];
    if (request === undefined) continue;
    const decision = route(router, request, turn, random);
    if (decision.kind === RouteKind.None) continue;
    recordDispatch(router, decision, request, turn);
    recordAnswerEnd(
      router,
      {
        target: decision.writer,
        workspace: request.workspace,
        promptTokens: request.promptTokens,
        outputTokens: 300,
        whole: true,
      },
      turn,
    );
    const used = router.views.get(decision.reader);
    if (used !== undefined && used.ownDispatches.length >= DISPATCHES_PER_REPORT) {
      applyLoadReport(router, report(used.name, used.role, turn));
    }
    const writer = router.views.get(decision.writer);
    if (writer !== undefined && writer.ownDispatches.length >= DISPATCHES_PER_REPORT) {
      applyLoadReport(router, report(writer.name, writer.role, turn));
    }
  }
}
