/**
 * Graceful shutdown of a gateway. Drains the open requests, closes the callers' server, stops the
 * components that requests depend on, and flushes the log last. As soon as no request is open,
 * further requests are rejected as not run instead of being sent to a target.
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
/** The load balancer removes a gateway after two failed readiness checks, one second apart. */
const NOTICE_MS = 2500;
/** Idle connections stay open this long because a request may be in transit to them. */
const IDLE_MS = 50;
/** Reserved at the end of the grace period, in order of use. First, open requests are answered. */
const ANSWER_MS = 250;
const CLOSE_PORT_MS = 200;
const STOP_CHILDREN_MS = 100;
const WRITE_LOG_MS = 100;
/** Reserved for the exit of the process. */
const EXIT_MS = 50;
/** Used if enough of the grace period is left, to answer pending calls of other gateways. */
const MAX_STOP_CHILDREN_MS = 500;

/** The dependencies and the grace period of a graceful shutdown. */
export interface GracefulStopOptions {
  readonly front: FrontServer;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number;
  readonly nowMs: () => number;
  /** Earliest time at which the signal was sent; after an event loop stall, it is read late. */
  readonly earliestSignalAtMs: number;
  readonly log: GatewayLog;
  /** Announces to the load balancer and the other gateways that this gateway leaves. */
  readonly announceLeaving: () => void;
  /** Stops the components that requests depend on. */
  readonly stopChildren: () => Promise<void>;
  readonly writeLog: () => Promise<void>;
}

/**
 * Stops a gateway; resolves when the process may exit. The grace period starts when the signal was
 * sent, not when it was read. Otherwise, the gateway accepts requests that the kill then aborts.
 */
export async function stopGracefully(
  options: GracefulStopOptions,
  reason: StopReason,
): Promise<void> {
  const { front, log, earliestSignalAtMs } = options;
  const graceEndsAtMs = earliestSignalAtMs + options.graceMs;
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
  const remainingMs = graceEndsAtMs - options.nowMs() - WRITE_LOG_MS - EXIT_MS;
  await waitAtMost(
    Math.min(Math.max(remainingMs, 0), MAX_STOP_CHILDREN_MS),
    options.stopChildren(),
  );
  await waitAtMost(WRITE_LOG_MS, options.writeLog());
}

async function drain(
  { front, nowMs, earliestSignalAtMs, log }: GracefulStopOptions,
  graceMs: number,
): Promise<void> {
  const afterDrainMs = ANSWER_MS + CLOSE_PORT_MS + STOP_CHILDREN_MS + WRITE_LOG_MS + EXIT_MS;
  const drainMs = Math.max(0, graceMs - afterDrainMs);
  // During an event loop stall, the load balancer gets no readiness answers either, so the notice
  // period starts at the signal as well.
  const remainingNoticeMs = Math.max(0, earliestSignalAtMs + NOTICE_MS - nowMs());
  const state = createDrain({
    ...DRAIN_OPTIONS,
    noticeMs: Math.min(remainingNoticeMs, drainMs),
    drainMs,
    handOverMs: ANSWER_MS,
    acceptsWhileDraining: true,
  });
  const perform = (effect: DrainEffect): void => {
    switch (effect.kind) {
      case DrainEffectKind.AnnounceLeaving:
        return;
      case DrainEffectKind.LimitAccepting:
        front.acceptOnlyUntil(state.startedAtMs + state.options.drainMs);
        return;
      case DrainEffectKind.StopAccepting:
        front.refuseAll();
        return;
      // A gateway can't hand over a request. The answer states whether it may have run.
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

/**
 * Waits with a timeout for work that may never finish, such as a write to a pipe without a reader.
 */
async function waitAtMost(timeoutMs: number, work: Promise<void>): Promise<void> {
  const timer = new AbortController();
  await Promise.race([work, sleep(timeoutMs, undefined, { signal: timer.signal, ref: false })]);
  timer.abort();
}
