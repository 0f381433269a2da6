/**
 * Counts this gateway's calls to the platform's store by kind. The store serves all gateways and
 * each call has a cost, so operators must be able to see which calls grow with the fleet.
 */
import type { Failure } from '@cassiamast/coordination';
import type { FleetPort } from '@cassiamast/ports';
import type { ResultAsync } from 'neverthrow';

/** Kinds of store call, as they appear in the names of the counters. */
export enum StoreCall {
  List = 'list',
  Changes = 'changes',
  Read = 'read',
  Write = 'write',
  GrantLease = 'grant_lease',
  KeepLease = 'keep_lease',
  EndLease = 'end_lease',
}

/** Wraps the store's port in one that counts each call and each failure. */
export function countStoreCalls(fleet: FleetPort, count: (name: string) => void): FleetPort {
  function counted<Answer>(
    call: StoreCall,
    answer: ResultAsync<Answer, Failure>,
  ): ResultAsync<Answer, Failure> {
    count(`store_${call}_calls_total`);
    return answer.mapErr((failure) => {
      count('store_failures_total');
      return failure;
    });
  }

  return {
    list: () => counted(StoreCall.List, fleet.list()),
    changesAfter: (revision, waitMs) =>
      counted(StoreCall.Changes, fleet.changesAfter(revision, waitMs)),
    get: (key) => counted(StoreCall.Read, fleet.get(key)),
    transact: (compares, writes) => counted(StoreCall.Write, fleet.transact(compares, writes)),
    announce: (gateway, leaseId) => counted(StoreCall.Write, fleet.announce(gateway, leaseId)),
    recordCrashes: (crashes) => counted(StoreCall.Write, fleet.recordCrashes(crashes)),
    deleteCrashes: (crashes) => counted(StoreCall.Write, fleet.deleteCrashes(crashes)),
    recordStreams: (batchId, streams, lease) =>
      counted(StoreCall.Write, fleet.recordStreams(batchId, streams, lease)),
    readVersions: (service) => counted(StoreCall.Read, fleet.readVersions(service)),
    recordVersions: (service, content, modRevision) =>
      counted(StoreCall.Write, fleet.recordVersions(service, content, modRevision)),
    grantLease: (ttlMs) => counted(StoreCall.GrantLease, fleet.grantLease(ttlMs)),
    keepLeaseAlive: (leaseId) => counted(StoreCall.KeepLease, fleet.keepLeaseAlive(leaseId)),
    revokeLease: (leaseId) => counted(StoreCall.EndLease, fleet.revokeLease(leaseId)),
    renewConnections: () => {
      count('store_connection_renewals_total');
      fleet.renewConnections();
    },
    close: () => fleet.close(),
  };
}
