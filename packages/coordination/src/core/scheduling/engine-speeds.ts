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
  type PrefillTimeModel,
  createPrefillTimeModel,
  predictPrefillMs,
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
  /** Models of the service; null if speeds are not learned. */
  readonly service: ServiceSpeeds | null;
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

/** Returns the prior prefill model of an engine in the given phase. */
export function createPhaseModel(phase: EnginePhase | null): PrefillTimeModel {
  const ratio = phase === EnginePhase.Decode ? DECODE_PREFILL_SPEED_RATIO : 1;
  return createPrefillTimeModel(PREFILL_TOKENS_PER_MS * ratio);
}

/** Returns models that contain only their priors. */
export function createServiceSpeeds(): ServiceSpeeds {
  return {
    prefill: createPhaseModel(EnginePhase.Prefill),
    prefillBesideDecode: createPhaseModel(EnginePhase.Decode),
    decode: createPhaseModel(EnginePhase.Prefill),
  };
}

/** Returns the speed of an engine without measurements; `service` null: it is not learned. */
export function createEngineSpeed(service: ServiceSpeeds | null): EngineSpeed {
  return {
    service,
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
  if (speed.service === null || nowMs - speed.refreshedAtMs < REFRESH_MS) return;
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
  if (speed.service === null) return;
  addBusyTime(speed.prefillBusy, serviceMs, nowMs);
  updateBalance(speed, nowMs);
}

function prefillModel(service: ServiceSpeeds, phase: EnginePhase | null): PrefillTimeModel {
  return phase === EnginePhase.Decode ? service.prefillBesideDecode : service.prefill;
}

/** Returns the time that an engine needs to prefill the given number of tokens. */
export function predictLearnedPrefillMs(
  { prefillSlowness }: EngineSpeed,
  service: ServiceSpeeds,
  phase: EnginePhase | null,
  tokens: number,
): number {
  return prefillSlowness * predictPrefillMs(prefillModel(service, phase), tokens);
}

/** Adds a measured prefill, without the transfer of cached parts. */
export function recordPrefillSpeed(
  { service, prefill }: EngineSpeed,
  phase: EnginePhase | null,
  tokens: number,
  measuredMs: number,
  nowMs: number,
): void {
  if (service === null) return;
  addMeasurement(prefillModel(service, phase), prefill, tokens, measuredMs, nowMs);
}

function addMeasurement(
  model: PrefillTimeModel,
  slowness: Slowness,
  tokens: number,
  measuredMs: number,
  nowMs: number,
): void {
  const expectedMs = predictPrefillMs(model, tokens);
  recordSlowness(slowness, measuredMs, expectedMs, nowMs);
  // A stall of one engine must not make all engines look slow.
  const limitedMs = Math.min(measuredMs, MAX_SAMPLE_RATIO * expectedMs);
  recordPrefill(model, tokens, limitedMs, SERVICE_SAMPLE_DECAY);
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
  if (speed.service === null) return;
  // The step of a full engine takes about twice as long as that of an empty one.
  const loadFactor = 1 + streams / Math.max(1, slots);
  const weightedTokens = outputTokens * PREFILL_TOKENS_PER_OUTPUT_TOKEN * loadFactor;
  speed.streams.set(jobId, { startedAtMs: nowMs, weightedTokens });
  const expectedMs = predictPrefillMs(speed.service.decode, weightedTokens);
  addBusyTime(speed.decodeBusy, speed.decodeSlowness * expectedMs, nowMs);
  updateBalance(speed, nowMs);
}

/** Adds the duration of a stream that was answered completely. */
export function recordStreamSpeed(speed: EngineSpeed, jobId: string, nowMs: number): void {
  const stream = speed.streams.get(jobId);
  if (stream === undefined || speed.service === null) return;
  const { startedAtMs, weightedTokens } = stream;
  const { decode } = speed.service;
  addMeasurement(decode, speed.decode, weightedTokens, nowMs - startedAtMs, nowMs);
}

/**
 * Weight of the recent busy time of an engine against the time to answer. With 0.1, the fastest of
 * engines of three speeds were 1.31 times as busy as the mean at a quarter of their capacity; a
 * larger weight has more cached parts copied.
 */
const PREFILL_BALANCE_WEIGHT = 0.15;
/** Recent stream time, in ms, that weighs as much as one running request. */
const STREAM_MS_PER_REQUEST = 500;

/**
 * Returns the load that one more stream finds on an engine, in running requests of an average engine;
 * the number of streams if speeds are not learned.
 */
export function streamLoad(speed: EngineSpeed, streams: number): number {
  if (speed.service === null) return streams;
  return (streams + 1) * speed.decodeSlowness - 1 + speed.decodeBalance;
}
