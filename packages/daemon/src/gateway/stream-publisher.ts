/**
 * Writes the origins of streams to the platform's store, so that streams can be resumed after all
 * gateways were lost. Origins are written in batches under leases that are never renewed, so they
 * expire by themselves. While the store does not take them, other gateways are asked to write them
 * too.
 */
import {
  type Failure,
  type FleetView,
  type Random,
  type StreamAssignment,
  eraOf,
  waitAfterFailuresMs,
} from '@cassiamast/coordination';
import { type FleetPort, KEY_VALUE_LEASE_GONE, type KeyValueLease } from '@cassiamast/ports';
import { type Result, err, ok } from 'neverthrow';
import type { RecentGateways } from './recent-gateways.js';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { GatewayLog } from './gateway-log.js';

/** Time between two writes of one gateway. */
const WRITE_INTERVAL_MS = 100;
/** Assignments of the same moment are written together. */
const GATHER_MS = 5;
/** A batch that is not written by then is delegated to other gateways. */
const LATE_AFTER_MS = 300;
/** Time limit of a write that a turn waits for; its caller is waiting. */
const WRITE_NOW_MS = 400;
/** Gateways that are asked to write a batch. */
const PEERS_TOLD = 3;
const TELL_TIMEOUT_MS = 500;
/** Origins live for two to three replacements of the lease, longer than nearly all streams. */
const LEASE_MS = 30_000;
const LEASE_REPLACED_MS = 10_000;
const RETRY_BACKOFF = { initialMs: 300, maxMs: 1200 };
/** A stream that began earlier is over. */
const KEPT_MS = 30_000;
/** About 80 KB. */
const MAX_STREAMS_PER_WRITE = 2000;
/** Most origins that wait for the store; the oldest are dropped first. */
export const MAX_QUEUED_ORIGINS = 20_000;

/** Dependencies of the publisher. */
export interface StreamPublisherOptions {
  readonly selfId: string;
  readonly fleet: Pick<FleetPort, 'grantLease' | 'recordStreams'>;
  readonly view: FleetView;
  readonly rpc: RpcClient;
  readonly recent: RecentGateways;
  /** Higher than any sequence number of an earlier start of this gateway. */
  readonly firstSequence: number;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** Publishes origins of streams. */
export interface StreamPublisher {
  /** Queues the origins of assignments that this gateway made. */
  readonly publish: (streams: readonly StreamAssignment[]) => void;
  /** Queues origins that another gateway has failed to write, with the era of the store they are from. */
  readonly publishForPeer: (streams: readonly StreamAssignment[], era: number) => void;
  /** Writes one origin at once; resolves with whether the store has it, within 400 ms. */
  readonly publishNow: (stream: StreamAssignment) => Promise<boolean>;
  /** Writes what is queued, within 300 ms, and nothing more. */
  readonly stop: () => Promise<void>;
}

/** An assignment, and the era of the store in which it was made. It proves nothing in a later era. */
interface DatedOrigin {
  readonly stream: StreamAssignment;
  readonly era: number;
}

/** An origin that is not written yet. */
interface QueuedOrigin extends DatedOrigin {
  readonly atMs: number;
  /** Whether other gateways were asked to write it, or have asked this one. */
  isDelegated: boolean;
}

/** A lease and when it was acquired. */
interface HeldLease {
  readonly lease: KeyValueLease;
  readonly grantedAtMs: number;
}

/** Creates the publisher. */
export function createStreamPublisher(options: StreamPublisherOptions): StreamPublisher {
  const { selfId, fleet, view, rpc, recent, random, nowMs, sleep, log, count } = options;
  let sequence = options.firstSequence;
  let queue: QueuedOrigin[] = [];
  let held: HeldLease | null = null;
  let isRunning = false;
  let isStopped = false;
  /** Whether the store has not taken the last batch in time. */
  let isStoreLate = false;
  let failures = 0;
  let lastWriteAtMs = -Infinity;
  let retryAtMs = -Infinity;

  /** Resolves with an answer, or with null if there is none in time. */
  function within<Answer>(answer: Promise<Answer>, timeoutMs: number): Promise<Answer | null> {
    return Promise.race([answer, sleep(timeoutMs).then(() => null)]);
  }

  function currentEra(): number {
    return eraOf(view.revision);
  }

  function enqueue(streams: readonly StreamAssignment[], era: number, isDelegated: boolean): void {
    if (isStopped || streams.length === 0) return;
    const atMs = nowMs();
    for (const stream of streams) queue.push({ stream, era, atMs, isDelegated });
    dropExcess();
    start();
  }

  function start(): void {
    if (isRunning) return;
    isRunning = true;
    void run().finally(() => {
      isRunning = false;
    });
  }

  function countDropped(origins: number): void {
    for (let each = 0; each < origins; each += 1) count('stream_origins_dropped_total');
  }

  function dropExcess(): void {
    const keptFromMs = nowMs() - KEPT_MS;
    let dropped = 0;
    // The oldest are in front. Looking at all of them would cost each grant more than its scheduling.
    while (
      queue.length - dropped > MAX_QUEUED_ORIGINS ||
      (queue[dropped]?.atMs ?? Infinity) < keptFromMs
    ) {
      dropped += 1;
    }
    countDropped(dropped);
    if (dropped > 0) queue.splice(0, dropped);
  }

  async function run(): Promise<void> {
    while (queue.length > 0 && !isStopped) {
      await sleep(Math.max(GATHER_MS, lastWriteAtMs + WRITE_INTERVAL_MS - nowMs()));
      dropExcess();
      // Another call may have emptied the queue meanwhile, which ends the loop.
      if (queue.length === 0) continue;
      if (nowMs() >= retryAtMs) await writeBatch();
      else {
        delegate(queue);
        await sleep(WRITE_INTERVAL_MS);
      }
    }
  }

  /**
   * Writes a batch. One that is late is delegated, and still counts as written if it succeeds. While the
   * store is late, batches are delegated at once and the next one does not wait for the answer.
   */
  async function writeBatch(): Promise<void> {
    const batch = queue.slice(0, MAX_STREAMS_PER_WRITE);
    queue = queue.slice(MAX_STREAMS_PER_WRITE);
    lastWriteAtMs = nowMs();
    if (isStoreLate) delegate(batch);
    const waitMs = isStoreLate ? WRITE_INTERVAL_MS : LATE_AFTER_MS;
    const written = await within(writeAndConclude(batch), waitMs);
    if (written?.isOk() === true) return;
    isStoreLate = true;
    delegate(batch);
  }

  async function writeAndConclude(
    batch: readonly QueuedOrigin[],
  ): Promise<Result<number, Failure>> {
    const lateAtMs = nowMs() + LATE_AFTER_MS;
    const written = await write(batch);
    isStoreLate = written.isErr() || nowMs() > lateAtMs;
    if (written.isErr()) noteFailure(batch, written.error);
    else failures = 0;
    return written;
  }

  function noteFailure(batch: readonly QueuedOrigin[], { message }: Failure): void {
    failures += 1;
    count('stream_origin_writes_failed_total');
    if (failures === 1) log.warn('stream origins not written', { cause: message });
    retryAtMs = nowMs() + waitAfterFailuresMs(failures, RETRY_BACKOFF, random);
    if (isStopped) return;
    queue = [...batch, ...queue];
    start();
  }

  /** Writes origins unless the store came back from an older copy since; resolves with how many. */
  async function write(origins: readonly DatedOrigin[]): Promise<Result<number, Failure>> {
    const written = await writeUnderLease(origins);
    if (written.isOk() || !KEY_VALUE_LEASE_GONE.is(written.error)) return written;
    held = null;
    return writeUnderLease(origins);
  }

  async function writeUnderLease(
    origins: readonly DatedOrigin[],
  ): Promise<Result<number, Failure>> {
    const lease = await currentLease();
    if (lease.isErr()) return err(lease.error);
    // The store of a later era may lack the origin of a later turn.
    const streams = origins.filter(({ era }) => era >= lease.value.era).map(({ stream }) => stream);
    countDropped(origins.length - streams.length);
    if (streams.length === 0) return ok(0);
    sequence += 1;
    const batchId = `${selfId}-${String(sequence)}`;
    const written = await fleet.recordStreams(batchId, streams, lease.value);
    return written.map(() => streams.length);
  }

  /**
   * Returns a lease that was acquired in the last seconds. One from before the store came back from an
   * older copy is not used, since its id may have been given to another holder.
   */
  async function currentLease(): Promise<Result<KeyValueLease, Failure>> {
    const isUsable =
      held !== null &&
      nowMs() - held.grantedAtMs < LEASE_REPLACED_MS &&
      held.lease.era >= eraOf(view.revision);
    if (held !== null && isUsable) return ok(held.lease);
    const grantedAtMs = nowMs();
    const granted = await fleet.grantLease(LEASE_MS);
    if (granted.isOk()) held = { lease: granted.value, grantedAtMs };
    return granted;
  }

  /** Asks other gateways to write origins, which also keeps them if this process ends. */
  function delegate(origins: readonly QueuedOrigin[]): void {
    const streams = origins
      .filter(({ era, isDelegated }) => era >= currentEra() && !isDelegated)
      .map(({ stream }) => stream);
    for (const origin of origins) origin.isDelegated = true;
    if (streams.length === 0) return;
    const others = [...recent.others()];
    for (let told = 0; told < PEERS_TOLD && others.length > 0; told += 1) {
      const [peer = ''] = others.splice(Math.floor(random() * others.length), 1);
      void tell(peer, streams);
    }
  }

  async function tell(peer: string, streams: readonly StreamAssignment[]): Promise<void> {
    const params = [[], selfId, streams, currentEra()];
    const told = await rpc.call(peer, RpcMethod.StreamsTell, params, {
      timeoutMs: TELL_TIMEOUT_MS,
    });
    count(told.isOk() ? 'stream_origins_delegated_total' : 'stream_versions_untold_total');
  }

  return {
    publish: (streams) => {
      enqueue(streams, currentEra(), false);
    },
    publishForPeer: (streams, era) => {
      enqueue(streams, era, true);
    },
    publishNow: async (stream) => {
      const written = await within(write([{ stream, era: currentEra() }]), WRITE_NOW_MS);
      return written?.unwrapOr(0) === 1;
    },
    stop: async () => {
      isStopped = true;
      const rest = queue;
      queue = [];
      if (rest.length === 0) return;
      const written = await within(write(rest), LATE_AFTER_MS);
      if (written?.isOk() !== true) log.warn('stream origins not written', { left: rest.length });
    },
  };
}
