/**
 * Learns how fast the engines of a service are. Models of an average engine are fitted to the
 * measurements of all engines, and each engine has a factor relative to them, which stalls of less
 * than a second do not change.
 */
import { EnginePhase } from '../forwarding/fleet.js';
import { type BusyTime, addBusyTime, busyTimeAt, createBusyTime } from '../locality/busy-time.js';
import { type Slowness, createSlowness, recordSlowness, slownessAt } from '../locality/slowness.js';
import {
  PREFILL_TOKENS_PER_MS,
  type PrefillSample,
  type PrefillTimeModel,
  createPrefillTimeModel,
  isMeaningful,
  predictPrefillMs,
  prefillLatencyMs,
  recordPrefill,
} from './prefill-time.js';

/** Models of an average engine of a service. */
export interface ServiceSpeeds {
  readonly prefill: PrefillTimeModel;
  /** Prefill on engines that decode as well, which are slower at it. */
  readonly prefillBesideDecode: PrefillTimeModel;
  /** From the end of the prefill to the end of the stream, by output tokens weighted with load. */
  readonly decode: PrefillTimeModel;
}

/** What is known of the speed of one engine. */
export interface EngineSpeed {
  /** Models of the service. */
  readonly service: ServiceSpeeds;
  /** Whether factors relative to the service are learned. */
  readonly isLearned: boolean;
  readonly prefill: Slowness;
  readonly decode: Slowness;
  readonly prefillBusy: BusyTime;
  readonly decodeBusy: BusyTime;
  /** Streams by job id whose prompts are prefilled. */
  readonly streams: Map<string, StreamStart>;
  /** Factors in use, updated by `refreshSpeed`; 2 is half as fast as the average engine. */
  prefillSlowness: number;
  decodeSlowness: number;
  /** Penalties for recent work: time for prefill, running requests for decode. */
  prefillBalanceMs: number;
  decodeBalance: number;
  refreshedAtMs: number;
}

/** A stream that an engine decodes. */
interface StreamStart {
  readonly startedAtMs: number;
  /** Output tokens, weighted with the load of the engine. */
  readonly weightedTokens: number;
}

/** Decode engines prefill at half speed while decoding, according to their data sheet. */
const DECODE_PREFILL_SPEED_RATIO = 0.5;
/**
 * Weight that samples of the average engine keep with each new one. All engines contribute, so the
 * samples of about two seconds at 200 requests/s are averaged.
 */
const SERVICE_SAMPLE_DECAY = 0.998;
/** Samples of the average engine are limited to this multiple of the prediction. */
const MAX_SAMPLE_RATIO = 3;
/** Decoding one token takes about as long as prefilling this many. */
const PREFILL_TOKENS_PER_OUTPUT_TOKEN = 120;

/** Returns the prior prefill model of engines in the given phase. */
function createPhaseModel(phase: EnginePhase | null, sampleDecay?: number): PrefillTimeModel {
  const ratio = phase === EnginePhase.Decode ? DECODE_PREFILL_SPEED_RATIO : 1;
  return createPrefillTimeModel(PREFILL_TOKENS_PER_MS * ratio, sampleDecay);
}

/** Returns models that contain only their priors. */
export function createServiceSpeeds(): ServiceSpeeds {
  return {
    prefill: createPhaseModel(EnginePhase.Prefill, SERVICE_SAMPLE_DECAY),
    prefillBesideDecode: createPhaseModel(EnginePhase.Decode, SERVICE_SAMPLE_DECAY),
    decode: createPhaseModel(EnginePhase.Prefill, SERVICE_SAMPLE_DECAY),
  };
}

/** Returns the speed of an engine without measurements. */
export function createEngineSpeed(service: ServiceSpeeds, isLearned: boolean): EngineSpeed {
  return {
    service,
    isLearned,
    prefill: createSlowness(),
    decode: createSlowness(),
    prefillBusy: createBusyTime(),
    decodeBusy: createBusyTime(),
    streams: new Map(),
    prefillSlowness: 1,
    decodeSlowness: 1,
    prefillBalanceMs: 0,
    decodeBalance: 0,
    refreshedAtMs: -Infinity,
  };
}

/** In this time the factors change at most once, and busy time decays by a hundredth. */
const REFRESH_MS = 50;

/** Updates the factors and penalties of an engine, which every decision reads many times. */
export function refreshSpeed(speed: EngineSpeed, nowMs: number): void {
  if (!speed.isLearned || nowMs - speed.refreshedAtMs < REFRESH_MS) return;
  speed.refreshedAtMs = nowMs;
  speed.prefillSlowness = slownessAt(speed.prefill, nowMs);
  speed.decodeSlowness = slownessAt(speed.decode, nowMs);
  updateBalance(speed, nowMs);
}

function updateBalance(speed: EngineSpeed, nowMs: number): void {
  speed.prefillBalanceMs = PREFILL_BALANCE_WEIGHT * busyTimeAt(speed.prefillBusy, nowMs);
  speed.decodeBalance = busyTimeAt(speed.decodeBusy, nowMs) / STREAM_MS_PER_REQUEST;
}

/** Records that an engine is given a prompt that it prefills in the given time. */
export function notePrefillGiven(speed: EngineSpeed, serviceMs: number, nowMs: number): void {
  if (!speed.isLearned) return;
  addBusyTime(speed.prefillBusy, serviceMs, nowMs);
  updateBalance(speed, nowMs);
}

/**
 * Returns the model of an engine's prefills: that of the service if factors are learned, otherwise
 * one of its own that starts from it.
 */
export function prefillModelOf(
  service: ServiceSpeeds,
  learnsSpeeds: boolean,
  phase: EnginePhase | null,
): PrefillTimeModel {
  const pooled = phase === EnginePhase.Decode ? service.prefillBesideDecode : service.prefill;
  return learnsSpeeds ? pooled : createPrefillTimeModel(pooled.priorTokensPerMs, undefined, pooled);
}

/** Adds a measured prefill, without the transfer of cached parts. */
export function recordPrefillSpeed(
  { speed, prefillTimeModel }: MeasuredEngine,
  sample: PrefillSample,
  nowMs: number,
): void {
  if (!speed.isLearned) recordPrefill(prefillTimeModel, sample);
  else addMeasurement(prefillTimeModel, speed.prefill, sample, nowMs);
}

/** The part of an engine's state that measurements change. */
interface MeasuredEngine {
  readonly speed: EngineSpeed;
  readonly prefillTimeModel: PrefillTimeModel;
}

function addMeasurement(
  model: PrefillTimeModel,
  slowness: Slowness,
  sample: PrefillSample,
  nowMs: number,
): void {
  if (!isMeaningful(model, sample)) return;
  const expectedMs = predictPrefillMs(model, sample.tokens);
  const latencyMs = sample.queuedMs > 0 ? 0 : prefillLatencyMs(model);
  const measuredMs = Math.max(0, sample.durationMs - latencyMs);
  recordSlowness(slowness, measuredMs, expectedMs, nowMs);
  // A stall of one engine must not make all engines look slow.
  const durationMs = Math.min(sample.durationMs, MAX_SAMPLE_RATIO * (expectedMs + latencyMs));
  recordPrefill(model, { ...sample, durationMs });
}

/** Returns the expected time of a stream on an average engine. */
function predictStreamMs({ decode }: ServiceSpeeds, weightedTokens: number): number {
  return prefillLatencyMs(decode) + predictPrefillMs(decode, weightedTokens);
}

/** Records that an engine begins to decode a stream, as one of `streams` on `slots`. */
export function beginStream(
  speed: EngineSpeed,
  jobId: string,
  outputTokens: number,
  streams: number,
  slots: number,
  nowMs: number,
): void {
  if (!speed.isLearned) return;
  // The step of a full engine takes about twice as long as that of an empty one.
  const loadFactor = 1 + streams / Math.max(1, slots);
  const weightedTokens = outputTokens * PREFILL_TOKENS_PER_OUTPUT_TOKEN * loadFactor;
  speed.streams.set(jobId, { startedAtMs: nowMs, weightedTokens });
  const expectedMs = predictStreamMs(speed.service, weightedTokens);
  addBusyTime(speed.decodeBusy, speed.decodeSlowness * expectedMs, nowMs);
  updateBalance(speed, nowMs);
}

/** Adds the duration of a stream that was answered completely. */
export function recordStreamSpeed(speed: EngineSpeed, jobId: string, nowMs: number): void {
  const stream = speed.streams.get(jobId);
  if (stream === undefined || !speed.isLearned) return;
  const { startedAtMs, weightedTokens } = stream;
  const { decode } = speed.service;
  const sample = { tokens: weightedTokens, durationMs: nowMs - startedAtMs, queuedMs: 0 };
  addMeasurement(decode, speed.decode, sample, nowMs);
}

/**
 * Weight of the recent busy time of an engine against the time to answer. With a smaller one,
 * engines of three speeds are not equally busy; a larger one has more cached parts copied.
 */
const PREFILL_BALANCE_WEIGHT = 0.2;
/** Recent stream time, in ms, that weighs as much as one running request. */
const STREAM_MS_PER_REQUEST = 500;

/**
 * Returns the load that one more stream finds on an engine, in running requests of an average engine;
 * the number of streams if speeds are not learned.
 */
export function streamLoad(speed: EngineSpeed, streams: number): number {
  if (!speed.isLearned) return streams;
  return (streams + 1) * speed.decodeSlowness - 1 + speed.decodeBalance;
}
