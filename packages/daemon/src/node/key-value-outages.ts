/**
 * Reports outages of the key-value service on the time line. Outages are detected from the results
 * of the calls that this process makes anyway, without extra probes.
 */
import {
  createOutageWatch,
  EventKind,
  recordCallFailure,
  recordCallSuccess,
  OutageChange,
  type Failure,
  type OutageWatch,
  type ReadClock,
} from '@cassiamast/coordination';
import { KEY_VALUE_LEASE_GONE, type KeyValueClient } from '@cassiamast/ports';
import type { ResultAsync } from 'neverthrow';
import type { Telemetry } from './telemetry.js';

type Observe = <Value>(call: ResultAsync<Value, Failure>) => ResultAsync<Value, Failure>;

/** Wraps the client so that the start and end of an outage are reported. */
export function reportOutages(
  client: KeyValueClient,
  emit: Telemetry['emit'],
  nowMs: ReadClock,
): KeyValueClient {
  const outageWatch = createOutageWatch();
  const observe: Observe = (call) =>
    call
      .map((value) => {
        recordSuccess(outageWatch, emit, nowMs());
        return value;
      })
      .mapErr((failure) => {
        // An expired lease is a valid answer: the service is available.
        if (KEY_VALUE_LEASE_GONE.is(failure)) recordSuccess(outageWatch, emit, nowMs());
        else recordFailure(outageWatch, emit, nowMs(), failure);
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

function recordSuccess(outageWatch: OutageWatch, emit: Telemetry['emit'], nowMs: number): void {
  const { outSinceMs } = outageWatch;
  if (recordCallSuccess(outageWatch) !== OutageChange.Ended || outSinceMs === null) return;
  const figures = { outMs: Math.round(nowMs - outSinceMs) };
  emit({ kind: EventKind.KeyValueBack, reason: 'a call was answered again', figures });
}

function recordFailure(
  outageWatch: OutageWatch,
  emit: Telemetry['emit'],
  nowMs: number,
  failure: Failure,
): void {
  if (recordCallFailure(outageWatch, nowMs) !== OutageChange.Began) return;
  const figures = { failures: outageWatch.consecutiveFailures };
  emit({ kind: EventKind.KeyValueOutage, reason: failure.message, figures });
}
