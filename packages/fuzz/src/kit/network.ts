/**
 * A network that loses, delays, repeats and reorders messages, and is parted one way or both.
 */
import type { Random } from '@cassiamast/coordination';
import { schedule } from './scheduler.js';
import type { Scheduler } from './scheduler.js';
import { countFault } from './faults.js';
import type { FaultCounts } from './faults.js';

/** How bad the network is now: shares of messages from 0 to 1. */
export interface NetworkFaults {
  lossRatio: number;
  repeatRatio: number;
  /** Share of messages that come after every timeout. */
  lateRatio: number;
}

/** The network. */
export interface Network {
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly faults: NetworkFaults;
  readonly counts: FaultCounts;
  /** Directed links that are cut, as `from>to`. */
  readonly cutLinks: Set<string>;
  /** Last time at which a message was lost, repeated or late. */
  troubledAtMs: number;
}

/** Ordinary one-way time between two processes. */
const LATENCY_MS = 1;
/** Spread that lets messages overtake each other. */
const JITTER_MS = 3;
/** Beyond every timeout of the system, up to two minutes. */
const LATE_MS = 20_000;
const LATE_SPREAD_MS = 100_000;

/** A network without faults. */
export function createNetwork(scheduler: Scheduler, random: Random, counts: FaultCounts): Network {
  const faults = { lossRatio: 0, repeatRatio: 0, lateRatio: 0 };
  return { scheduler, random, faults, counts, cutLinks: new Set(), troubledAtMs: -Infinity };
}

/** The name of a directed link. */
export function linkOf(from: string, to: string): string {
  return `${from}>${to}`;
}

/** Whether messages pass from one process to another. */
export function linkIsUp(network: Network, from: string, to: string): boolean {
  return !network.cutLinks.has(linkOf(from, to));
}

/** Sends a message; `deliver` is called for each copy that arrives. */
export function sendMessage(network: Network, from: string, to: string, deliver: () => void): void {
  if (from === to) {
    schedule(network.scheduler, 0, deliver);
    return;
  }
  if (!linkIsUp(network, from, to) || happens(network, network.faults.lossRatio)) {
    noteTrouble(network, 'message-lost');
    return;
  }
  schedule(network.scheduler, delayOf(network), deliver);
  if (!happens(network, network.faults.repeatRatio)) return;
  noteTrouble(network, 'message-repeated');
  schedule(network.scheduler, delayOf(network), deliver);
}

function delayOf(network: Network): number {
  if (!happens(network, network.faults.lateRatio)) {
    return LATENCY_MS + Math.floor(network.random() * JITTER_MS);
  }
  noteTrouble(network, 'message-late');
  return LATE_MS + Math.floor(network.random() * LATE_SPREAD_MS);
}

function happens(network: Network, ratio: number): boolean {
  return ratio > 0 && network.random() < ratio;
}

function noteTrouble(network: Network, kind: string): void {
  network.troubledAtMs = network.scheduler.nowMs;
  countFault(network.counts, kind);
}
