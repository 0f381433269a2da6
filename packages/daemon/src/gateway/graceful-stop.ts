/**
 * The graceful stop of a gateway. Running requests end first, then the callers' port is closed, then
 * the parts that requests need, and the log is written last. From the step in which no request is
 * open, none is passed on to a target: what still comes is refused as not run.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  DRAIN_OPTIONS,
  type DrainEffect,
  DrainEffectKind,
  DrainPhase,
  createDrain,
  startDrain,
  tickDrain,
} from '@cassiamast/coordination';
import type { StopReason } from '../node/run-process.js';
import type { FrontServer } from './front-server.js';
import type { GatewayLog } from './gateway-log.js';

const DRAIN_POLL_MS = 50;
/** The balancer takes a gateway out after two questions without a 200, a second apart. */
const NOTICE_MS = 2500;
/** Kept connections stay open for so long: a request may be on its way to them. */
const IDLE_MS = 50;
/** The end of the grace, in the order of its use; first, what is left open is answered. */
const ANSWER_MS = 250;
const CLOSE_PORT_MS = 200;
const STOP_CHILDREN_MS = 100;
const WRITE_LOG_MS = 100;
/** Left to the system for the exit itself. */
const EXIT_MS = 50;
/** Where the grace has more left than that, other gateways still get answers to what they asked. */
const STOP_CHILDREN_MOST_MS = 500;

/** What a stop needs. */
export interface GracefulStopOptions {
  readonly front: FrontServer;
  /** From the signal to the kill. */
  readonly graceMs: number;
  readonly nowMs: () => number;
  /** When the signal was sent at the earliest: a process that stood still reads it late. */
  readonly signalledSinceMs: number;
  readonly log: GatewayLog;
  /** Tells the balancer and the other gateways. */
  readonly announceLeaving: () => void;
  /** Stops what requests need. */
  readonly stopChildren: () => Promise<void>;
  readonly writeLog: () => Promise<void>;
}

/**
 * Stops a gateway; resolves when the process may exit. The grace counts from the signal, not from when
 * it was read: a process that counts too late takes requests that the kill cuts.
 */
export async function stopGracefully(
  options: GracefulStopOptions,
  reason: StopReason,
): Promise<void> {
  const { front, log, signalledSinceMs } = options;
  const graceEndsAtMs = signalledSinceMs + options.graceMs;
  const graceMs = Math.max(0, graceEndsAtMs - options.nowMs());
  log.lifecycle('gateway stops', {
    reason,
    openRequests: front.open(),
    graceMs: Math.round(graceMs),
  });
  front.disableKeepAlive();
  options.announceLeaving();
  await drain(options, graceMs);
  const receivedBefore = front.received();
  const abortedRequests = await front.close({ idleMs: IDLE_MS, timeoutMs: CLOSE_PORT_MS });
  const receivedSinceDrained = front.received() - receivedBefore;
  log.lifecycle('gateway ends', { receivedSinceDrained, abortedRequests });
  const leftMs = graceEndsAtMs - options.nowMs() - WRITE_LOG_MS - EXIT_MS;
  await atMost(Math.min(Math.max(leftMs, 0), STOP_CHILDREN_MOST_MS), options.stopChildren());
  await atMost(WRITE_LOG_MS, options.writeLog());
}

async function drain(
  { front, nowMs, signalledSinceMs, log }: GracefulStopOptions,
  graceMs: number,
): Promise<void> {
  const afterDrainMs = ANSWER_MS + CLOSE_PORT_MS + STOP_CHILDREN_MS + WRITE_LOG_MS + EXIT_MS;
  const drainMs = Math.max(0, graceMs - afterDrainMs);
  // A process that stood still has given the balancer no answer since the signal.
  const noticeLeftMs = Math.max(0, signalledSinceMs + NOTICE_MS - nowMs());
  const state = createDrain({
    ...DRAIN_OPTIONS,
    noticeMs: Math.min(noticeLeftMs, drainMs),
    drainMs,
    handOverMs: ANSWER_MS,
    acceptsWhileDraining: true,
  });
  const perform = (effect: DrainEffect): void => {
    switch (effect.kind) {
      case DrainEffectKind.AnnounceLeaving:
        return;
      case DrainEffectKind.LimitAccepting:
        front.takeOnlyUntil(state.startedAtMs + state.options.drainMs);
        return;
      case DrainEffectKind.StopAccepting:
        front.refuseAll();
        return;
      // A gateway has nowhere to move a request to: its caller is told what is known of it.
      case DrainEffectKind.HandOver:
        log.lifecycle('grace is over', { openRequests: front.open() });
        front.endAll();
        return;
      case DrainEffectKind.Drained:
        log.lifecycle('gateway drained', {
          leftRunning: effect.leftRunning,
          tookMs: Math.round(nowMs() - state.startedAtMs),
        });
    }
  };
  let effects = startDrain(state, nowMs());
  while (state.phase !== DrainPhase.Drained) {
    effects.forEach(perform);
    await sleep(DRAIN_POLL_MS);
    effects = tickDrain(state, front.open(), nowMs());
  }
  effects.forEach(perform);
}

/** Waits for work that may not end, such as a write that nobody reads. */
async function atMost(timeoutMs: number, work: Promise<void>): Promise<void> {
  const timer = new AbortController();
  await Promise.race([work, sleep(timeoutMs, undefined, { signal: timer.signal, ref: false })]);
  timer.abort();
}
