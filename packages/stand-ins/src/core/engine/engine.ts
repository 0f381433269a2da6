/**
 * A stand-in of a model engine: continuous batching over a prefix cache in limited memory, streams
 * that outlive their connections, orders, KV transfers, and crashes. See
 * docs/design/outside-systems.md for the protocol.
 */
import type { HttpServer } from '../http/http-server.js';
import { startHttpServer } from '../http/http-server.js';
import type { Emission, Step } from './batch.js';
import { EmissionKind, removeWork, runStep } from './batch.js';
import type { EngineFaults } from './faults.js';
import { noEngineFaults, takeFault } from './faults.js';
import { takeReport } from './load-report.js';
import { createStepLoop } from './loop.js';
import type { EngineOptions } from './options.js';
import { DEFAULT_ENGINE } from './options.js';
import { carryOutOrder } from './order-execution.js';
import { createEngineRoutes } from './routes.js';
import type { RunCounts } from '../runs/run-counts.js';
import { countRun, promptFingerprint } from '../runs/run-counts.js';
import type { EngineCounts, EngineLife } from './state.js';
import { keepKvHandle, loadFigures, newEngineCounts, startLife } from './state.js';
import { addToken, endStream, forgetEnded } from './streams.js';

/** A running engine. */
export interface EngineStandIn {
  readonly address: string;
  readonly port: number;
  readonly counts: () => Readonly<EngineCounts>;
  /** How often a prompt entered the batch, over all lives of the engine. */
  readonly runsOf: (prompt: string) => number;
  readonly setFaults: (change: Partial<EngineFaults>) => void;
  /** Loses all state and connections; the engine is back after `restartMs`. */
  readonly crash: () => void;
  /** Breaks every connection; streams go on. */
  readonly breakConnections: () => void;
  readonly stop: () => Promise<void>;
}

/** What the parts of one engine share. */
export interface EngineContext {
  readonly options: EngineOptions;
  readonly counts: EngineCounts;
  readonly runs: RunCounts;
  readonly faults: EngineFaults;
  readonly nowMs: () => number;
  /** The current life; a crash replaces it. */
  readonly life: () => EngineLife;
  readonly wake: () => void;
  readonly crash: () => void;
  readonly breakConnections: () => void;
}

/** Starts the stand-in. */
export async function startEngine(given: Partial<EngineOptions> = {}): Promise<EngineStandIn> {
  const options: EngineOptions = { ...DEFAULT_ENGINE, ...given };
  const nowMs = (): number => performance.now();
  const counts = newEngineCounts();
  const runs: RunCounts = new Map();
  const faults = noEngineFaults();
  let starts = 0;
  let stopped = false;
  let restart: NodeJS.Timeout | null = null;
  const newLife = (highestFence: number): EngineLife => {
    starts += 1;
    return startLife(options, `${options.name}-${String(starts)}`, highestFence);
  };
  let life = newLife(0);

  const crash = (): void => {
    if (restart !== null || stopped) return;
    counts.crashes += 1;
    const closing = server.stop();
    restart = setTimeout(() => {
      void closing.then(comeBack);
    }, options.restartMs);
    life = newLife(options.forgetsFenceOnRestart ? 0 : life.ordered.highestFence);
  };
  const comeBack = async (): Promise<void> => {
    restart = null;
    if (!stopped) server = await listen(server.port);
  };

  const next = (): { durationMs: number; complete: () => void } | null => {
    const current = life;
    const step = runStep(current.batch, current.cache, options, nowMs());
    if (step === null) return null;
    for (const work of step.admitted) countRun(runs, promptFingerprint(work.request.prompt));
    const durationMs = step.durationMs * faults.slowFactor;
    current.lastStepMs = durationMs;
    return {
      durationMs,
      complete: () => {
        if (current === life) completeStep(context, step);
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
    life: () => life,
    wake: loop.wake,
    crash,
    breakConnections: () => {
      server.breakConnections();
    },
  };
  const routes = createEngineRoutes(context, (order) => {
    carryOutOrder(context, order);
  });
  const listen = (port: number): Promise<HttpServer> =>
    startHttpServer({ host: options.host, port, route: routes });
  let server = await listen(options.port);

  const report = setInterval(() => {
    life.loads.frozen = faults.freezeLoad;
    takeReport(life.loads, life.epoch, loadFigures(life, options), nowMs());
    forgetEnded(life.streams, nowMs(), options);
  }, options.loadReportEveryMs);
  takeReport(life.loads, life.epoch, loadFigures(life, options), nowMs());

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

/** Hands on what a step brought. */
function completeStep(context: EngineContext, step: Step): void {
  for (const emission of step.emissions) {
    if (emission.kind === EmissionKind.Crash) {
      context.crash();
      return;
    }
    handOn(context, emission);
  }
}

function handOn(context: EngineContext, emission: Emission): void {
  const { counts, options } = context;
  const life = context.life();
  const { work } = emission;
  const stream = life.streams.get(work.request.streamId);
  // Cancelled while the step was running.
  if (stream === undefined) return;
  switch (emission.kind) {
    case EmissionKind.Token:
      counts.generatedTokens += 1;
      addToken(stream, emission.token ?? '', options.tokensPerEvent);
      return;
    case EmissionKind.OutOfCacheMemory:
      counts.outOfCacheMemory += 1;
      removeWork(life.batch, stream.id);
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
      const kvHandle = work.request.prefillOnly ? exportHandle(context, life, work) : null;
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
  life: EngineLife,
  work: Emission['work'],
): string | null {
  if (takeFault(context.faults, 'failKvExports')) return null;
  const handle = `${life.epoch}/${work.request.streamId}`;
  keepKvHandle(life, handle, work.prompt);
  return handle;
}
