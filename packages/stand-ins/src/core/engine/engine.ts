/**
 * Emulates a model engine: continuous batching over a prefix cache in limited memory, streams that
 * survive lost connections, orders, KV transfers and crashes. See
 * docs/design/outside-systems.md for the protocol.
 */
import type { HttpServer } from '../http/http-server.js';
import { startHttpServer } from '../http/http-server.js';
import type { Emission, Step } from './batch.js';
import { EmissionKind, removeWork, runStep } from './batch.js';
import type { EngineFaults } from './faults.js';
import { noEngineFaults, consumeFault } from './faults.js';
import { recordReport } from './load-report.js';
import { createStepLoop } from './loop.js';
import type { EngineOptions } from './options.js';
import { DEFAULT_ENGINE } from './options.js';
import { executeOrder } from './order-execution.js';
import { createEngineRoutes } from './routes.js';
import type { RunCounts } from '../runs/run-counts.js';
import { countRun, promptFingerprint } from '../runs/run-counts.js';
import type { EngineCounts, EngineIncarnation } from './state.js';
import { keepKvHandle, loadFigures, newEngineCounts, createIncarnation } from './state.js';
import { addToken, endStream, removeEnded } from './streams.js';

/** A running engine. */
export interface EngineStandIn {
  readonly address: string;
  readonly port: number;
  readonly counts: () => Readonly<EngineCounts>;
  /** Returns how often a prompt entered the batch, including before crashes. */
  readonly runsOf: (prompt: string) => number;
  readonly setFaults: (change: Partial<EngineFaults>) => void;
  /** Loses all state and connections. The engine restarts after `restartMs`. */
  readonly crash: () => void;
  /** Closes every connection. Streams continue. */
  readonly breakConnections: () => void;
  readonly stop: () => Promise<void>;
}

/** State and controls shared by the modules of one engine. */
export interface EngineContext {
  readonly options: EngineOptions;
  readonly counts: EngineCounts;
  readonly runs: RunCounts;
  readonly faults: EngineFaults;
  readonly nowMs: () => number;
  /** Returns the current incarnation, which a crash replaces. */
  readonly incarnation: () => EngineIncarnation;
  readonly wake: () => void;
  readonly crash: () => void;
  readonly breakConnections: () => void;
}

/** Starts an engine stand-in. */
export async function startEngine(given: Partial<EngineOptions> = {}): Promise<EngineStandIn> {
  const options: EngineOptions = { ...DEFAULT_ENGINE, ...given };
  const nowMs = (): number => performance.now();
  const counts = newEngineCounts();
  const runs: RunCounts = new Map();
  const faults = noEngineFaults();
  let starts = 0;
  let stopped = false;
  let restart: NodeJS.Timeout | null = null;
  const newIncarnation = (highestFence: number): EngineIncarnation => {
    starts += 1;
    return createIncarnation(options, `${options.name}-${String(starts)}`, highestFence);
  };
  let incarnation = newIncarnation(0);

  const crash = (): void => {
    if (restart !== null || stopped) return;
    counts.crashes += 1;
    const closing = server.stop();
    restart = setTimeout(() => {
      void closing.then(listenAgain);
    }, options.restartMs);
    incarnation = newIncarnation(
      options.forgetsFenceOnRestart ? 0 : incarnation.orderState.highestFence,
    );
  };
  const listenAgain = async (): Promise<void> => {
    restart = null;
    if (!stopped) server = await listen(server.port);
  };

  const next = (): { durationMs: number; complete: () => void } | null => {
    const current = incarnation;
    const step = runStep(current.batch, current.cache, options, nowMs());
    if (step === null) return null;
    for (const work of step.admitted) countRun(runs, promptFingerprint(work.request.prompt));
    const durationMs = step.durationMs * faults.slowFactor;
    current.lastStepMs = durationMs;
    return {
      durationMs,
      complete: () => {
        if (current === incarnation) completeStep(context, step);
      },
    };
  };
  const loop = createStepLoop(next, nowMs);
  const context: EngineContext = {
    options,
    counts,
    runs,
    faults,
    nowMs,
    incarnation: () => incarnation,
    wake: loop.wake,
    crash,
    breakConnections: () => {
      server.breakConnections();
    },
  };
  const routes = createEngineRoutes(context, (order) => {
    executeOrder(context, order);
  });
  const listen = (port: number): Promise<HttpServer> =>
    startHttpServer({ host: options.host, port, route: routes });
  let server = await listen(options.port);

  const report = setInterval(() => {
    incarnation.loads.frozen = faults.freezeLoad;
    recordReport(incarnation.loads, incarnation.epoch, loadFigures(incarnation, options), nowMs());
    removeEnded(incarnation.streams, nowMs(), options);
  }, options.loadReportEveryMs);
  recordReport(incarnation.loads, incarnation.epoch, loadFigures(incarnation, options), nowMs());

  return {
    address: server.address,
    port: server.port,
    counts: () => ({ ...counts }),
    runsOf: (prompt) => runs.get(promptFingerprint(prompt)) ?? 0,
    setFaults: (change) => {
      Object.assign(faults, change);
    },
    crash,
    breakConnections: context.breakConnections,
    stop: async () => {
      stopped = true;
      clearInterval(report);
      if (restart !== null) clearTimeout(restart);
      loop.stop();
      await server.stop();
    },
  };
}

/** Delivers the results of a step to the streams. */
function completeStep(context: EngineContext, step: Step): void {
  for (const emission of step.emissions) {
    if (emission.kind === EmissionKind.Crash) {
      context.crash();
      return;
    }
    deliver(context, emission);
  }
}

function deliver(context: EngineContext, emission: Emission): void {
  const { counts, options } = context;
  const incarnation = context.incarnation();
  const { work } = emission;
  const stream = incarnation.streams.get(work.request.streamId);
  // The request was cancelled while the step was running.
  if (stream === undefined) return;
  switch (emission.kind) {
    case EmissionKind.Token:
      counts.generatedTokens += 1;
      addToken(stream, emission.token ?? '', options.tokensPerEvent);
      return;
    case EmissionKind.OutOfCacheMemory:
      counts.outOfCacheMemory += 1;
      removeWork(incarnation.batch, stream.id);
      endStream(
        stream,
        { error: { code: 'out_of_cache_memory', message: 'no cache memory left' } },
        context.nowMs(),
      );
      return;
    case EmissionKind.Finished: {
      if (emission.reason === undefined) return;
      counts.prefilledPromptTokens += work.prompt.tokens - work.cachedTokens;
      counts.cachedPromptTokens += work.cachedTokens;
      const kvHandle = work.request.prefillOnly ? exportHandle(context, incarnation, work) : null;
      const { reason } = emission;
      const promptTokens = work.prompt.tokens;
      const { cachedTokens } = work;
      endStream(stream, { end: { reason, promptTokens, cachedTokens, kvHandle } }, context.nowMs());
      return;
    }
    case EmissionKind.Crash:
      return;
  }
}

function exportHandle(
  context: EngineContext,
  incarnation: EngineIncarnation,
  work: Emission['work'],
): string | null {
  if (consumeFault(context.faults, 'failKvExports')) return null;
  const handle = `${incarnation.epoch}/${work.request.streamId}`;
  keepKvHandle(incarnation, handle, work.prompt);
  return handle;
}
