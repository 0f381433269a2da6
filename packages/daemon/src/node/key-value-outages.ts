/**
 * Puts outages of the key-value service on the time line: the calls of this process are watched on
 * their way, and nothing is asked only to find out.
 */
import {
  createOutageWatch,
  EventKind,
  noteFailure,
  noteSuccess,
  OutageChange,
  type Failure,
  type OutageWatch,
  type ReadClock,
} from '@cassiamast/coordination';
import { KEY_VALUE_LEASE_GONE, type KeyValueClient } from '@cassiamast/ports';
import type { ResultAsync } from 'neverthrow';
import type { Telemetry } from './telemetry.js';

type Observe = <Value>(call: ResultAsync<Value, Failure>) => ResultAsync<Value, Failure>;

/** The same client, with outages told. */
export function tellOutages(
  client: KeyValueClient,
  emit: Telemetry['emit'],
  nowMs: ReadClock,
): KeyValueClient {
  const watch = createOutageWatch();
  const observe: Observe = (call) =>
    call
      .map((value) => {
        succeeded(watch, emit, nowMs());
        return value;
      })
      .mapErr((failure) => {
        // A lapsed lease is an answer, and a sound one.
        if (KEY_VALUE_LEASE_GONE.is(failure)) succeeded(watch, emit, nowMs());
        else failed(watch, emit, nowMs(), failure);
        return failure;
      });
  return {
    ...client,
    get: (key) => observe(client.get(key)),
    list: (prefix, limit) => observe(client.list(prefix, limit)),
    transact: (compares, writes) => observe(client.transact(compares, writes)),
    grantLease: (ttlMs) => observe(client.grantLease(ttlMs)),
    keepLeaseAlive: (leaseId) => observe(client.keepLeaseAlive(leaseId)),
    revokeLease: (leaseId) => observe(client.revokeLease(leaseId)),
  };
}

function succeeded(watch: OutageWatch, emit: Telemetry['emit'], nowMs: number): void {
  const { outSinceMs } = watch;
  if (noteSuccess(watch) !== OutageChange.Ended || outSinceMs === null) return;
  const figures = { outMs: Math.round(nowMs - outSinceMs) };
  emit({ kind: EventKind.KeyValueBack, reason: 'a call was answered again', figures });
}

function failed(
  watch: OutageWatch,
  emit: Telemetry['emit'],
  nowMs: number,
  failure: Failure,
): void {
  if (noteFailure(watch, nowMs) !== OutageChange.Began) return;
  const figures = { failures: watch.failuresInRow };
  emit({ kind: EventKind.KeyValueOutage, reason: failure.message, figures });
}
