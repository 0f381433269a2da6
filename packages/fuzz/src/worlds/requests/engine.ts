/**
 * The simulated engine: it makes a text that differs from attempt to attempt (the worst case for
 * continuation), goes on without its sidecar, lets streams be taken up again, and crashes on
 * poisoned contents.
 */
import type { Attempt } from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { schedule } from '../../kit/scheduler.js';
import type { Simulation } from './simulation.js';
import { onEngineStarted, onEngineCrashed, onEngineTokens, onEngineWhole } from './oracle-runs.js';

/** One stream in an engine. */
interface EngineStream {
  readonly attempt: Attempt;
  readonly keyText: string;
  readonly bodyHash: string;
  readonly startIndex: number;
  readonly tokens: string[];
  readonly length: number;
  readonly startedAtMs: number;
  ended: boolean;
}

/** What an engine tells its sidecar. */
export interface EngineListener {
  readonly onTokens: (attemptId: string, index: number, tokens: readonly string[]) => void;
  readonly onEnded: (attemptId: string, outputTokens: number) => void;
  readonly onFailed: (attemptId: string, mayHaveRun: boolean) => void;
  readonly onMissing: (attemptId: string) => void;
  readonly onCrashed: () => void;
}

/** The engine of one target; it outlives its sidecar. */
export interface SimulatedEngine {
  readonly target: string;
  /** Changes at each crash, so that what was planned before means nothing. */
  epoch: number;
  isUp: boolean;
  readonly streams: Map<string, EngineStream>;
  listener: EngineListener | null;
  /** Whether a running sidecar hosts an attempt and so sees what becomes of it. */
  isWatched: (attemptId: string) => boolean;
}

/** What a caller asks of an engine; the payload of all simulated requests. */
export interface SimulatedPayload {
  readonly length: number;
  readonly poisonous: boolean;
}

const TOKEN_MS = 150;
const RESTART_MS = 3000;
/** A poisoned content crashes its engine after this many tokens. */
const TOKENS_UNTIL_CRASH = 2;

/** An engine that runs. */
export function createEngine(target: string): SimulatedEngine {
  return {
    target,
    epoch: 1,
    isUp: true,
    streams: new Map(),
    listener: null,
    isWatched: () => true,
  };
}

/** What a stream is started with. */
export interface EngineStart {
  readonly attempt: Attempt;
  readonly keyText: string;
  readonly bodyHash: string;
  readonly payload: SimulatedPayload;
  readonly continueFrom: readonly string[];
}

/** Starts a stream. */
export function startStream(
  simulation: Simulation,
  engine: SimulatedEngine,
  start: EngineStart,
): void {
  if (!engine.isUp) {
    engine.listener?.onFailed(start.attempt.id, false);
    return;
  }
  const stream: EngineStream = {
    attempt: start.attempt,
    keyText: start.keyText,
    bodyHash: start.bodyHash,
    startIndex: start.continueFrom.length,
    tokens: [...start.continueFrom],
    length: Math.max(start.payload.length, start.continueFrom.length + 1),
    startedAtMs: simulation.scheduler.nowMs,
    ended: false,
  };
  const others = [...engine.streams.values()].filter((other) => !other.ended);
  engine.streams.set(start.attempt.id, stream);
  onEngineStarted(
    simulation,
    start,
    engine.target,
    others.map((other) => other.attempt),
  );
  planToken(simulation, engine, stream, start.payload.poisonous);
}

/** Takes a running or ended stream up again from an index. */
export function resumeStream(
  simulation: Simulation,
  engine: SimulatedEngine,
  attemptId: string,
  fromIndex: number,
): void {
  const stream = engine.streams.get(attemptId);
  if (stream === undefined || !engine.isUp || fromIndex < stream.startIndex) {
    engine.listener?.onMissing(attemptId);
    return;
  }
  const tokens = stream.tokens.slice(fromIndex);
  if (tokens.length > 0) engine.listener?.onTokens(attemptId, fromIndex, tokens);
  if (stream.ended) engine.listener?.onEnded(attemptId, stream.tokens.length);
  countFault(simulation.network.counts, 'stream-taken-up-again');
}

/** Ends a stream. */
export function cancelStream(engine: SimulatedEngine, attemptId: string): void {
  engine.streams.delete(attemptId);
}

/** Crashes an engine with all that it runs; it comes back empty. */
export function crashEngine(simulation: Simulation, engine: SimulatedEngine): void {
  if (!engine.isUp) return;
  countFault(simulation.network.counts, 'engine-crash');
  const running = [...engine.streams.values()].filter((stream) => !stream.ended);
  const seen = running.filter((stream) => engine.isWatched(stream.attempt.id));
  onEngineCrashed(simulation, engine.target, running, seen);
  engine.epoch += 1;
  engine.isUp = false;
  engine.streams.clear();
  engine.listener?.onCrashed();
  schedule(simulation.scheduler, RESTART_MS, () => {
    engine.isUp = true;
  });
}

function planToken(
  simulation: Simulation,
  engine: SimulatedEngine,
  stream: EngineStream,
  poisonous: boolean,
): void {
  const { epoch } = engine;
  schedule(simulation.scheduler, TOKEN_MS, () => {
    const isThere = engine.epoch === epoch && engine.streams.get(stream.attempt.id) === stream;
    if (!isThere) return;
    const made = stream.tokens.length - stream.startIndex;
    if (poisonous && made >= TOKENS_UNTIL_CRASH) {
      countFault(simulation.network.counts, 'poisoned-content-crash');
      crashEngine(simulation, engine);
      return;
    }
    makeToken(simulation, engine, stream);
    if (!stream.ended) planToken(simulation, engine, stream, poisonous);
  });
}

function makeToken(simulation: Simulation, engine: SimulatedEngine, stream: EngineStream): void {
  const index = stream.tokens.length;
  const token = `${stream.attempt.id}:${String(index)} `;
  stream.tokens.push(token);
  onEngineTokens(simulation, stream.attempt.id, token);
  stream.ended = stream.tokens.length >= stream.length;
  if (stream.ended) onEngineWhole(simulation, stream.attempt.id);
  engine.listener?.onTokens(stream.attempt.id, index, [token]);
  if (stream.ended) engine.listener?.onEnded(stream.attempt.id, stream.tokens.length);
}
