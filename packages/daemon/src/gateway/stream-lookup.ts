/**
 * Finds the software version at which a stream began: in the memory of this gateway and of others, in
 * the origins that the platform's store holds, and from the versions that the service had recently.
 */
import {
  type FleetView,
  OriginSource,
  type StreamOrigin,
  type StreamOrigins,
  type TurnOrigin,
  type VersionHistory,
  agreedVersion,
  isHistoryLong,
  latestOrigin,
  originOf,
  storedOriginOf,
} from '@cassiamast/coordination';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { RecentGateways } from './recent-gateways.js';
import { shareReads } from './share-reads.js';

/** Other gateways are asked for at most this time; a caller is waiting. */
const ASK_TIMEOUT_MS = 200;
/** With older news, engines of another version may serve that are not known here. */
const FRESH_NEWS_MS = 1500;
/** Stands for the gateway that forwards a stream where only its origin in the store is known. */
const UNKNOWN_GATEWAY = '';

/** How the version of a stream was learned; the values are logged. */
export enum VersionSource {
  Own = 'own memory',
  Scheduler = 'the scheduling gateway',
  OnlyVersion = 'the only version seen lately',
  Gateways = 'other gateways',
  Stored = 'the store',
  OnlyInView = 'the only version known here',
}

/** What a gateway knows of a stream, and the versions that its service had recently. */
export interface StreamKnowledge {
  readonly origin: StreamOrigin | null;
  readonly versions: readonly string[];
}

/** The answer of a gateway of the last release has the origin only. */
type FindAnswer = StreamKnowledge | StreamOrigin | null;

/** Dependencies of the lookup. */
export interface StreamLookupOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly rpc: RpcClient;
  readonly recent: RecentGateways;
  readonly schedulerOf: (service: string) => string;
  /** Applies all changes of the store up to now; resolves with whether it has answered. */
  readonly readChanges: () => Promise<boolean>;
  /** What this gateway saw begin or assigned. */
  readonly origins: StreamOrigins;
  readonly history: VersionHistory;
  /** Returns the versions that a service had recently. */
  readonly versionsOf: (service: string) => readonly string[];
  readonly nowMs: () => number;
}

/** Finds versions of streams. */
export interface StreamLookup {
  /** Returns what this gateway knows of a stream: what it saw or assigned, or else what it has read. */
  readonly find: (attempt: string) => StreamOrigin | null;
  /** Finds the version of a stream by the attempt that began it; null if it is not known. */
  readonly findVersion: (service: string, attempt: string) => Promise<Found | null>;
}

/** What all other gateways know of a stream and of the versions of its service. */
interface ToldByAll {
  readonly origins: readonly StreamOrigin[];
  readonly versions: readonly string[];
}

/** A version and how it was learned. */
export type Found = readonly [string, VersionSource];

function isBegun({ source }: StreamOrigin): boolean {
  return source === OriginSource.Begun;
}

/** Creates the lookup. */
export function createStreamLookup(options: StreamLookupOptions): StreamLookup {
  const { selfId, view, rpc, recent, schedulerOf, origins, history, versionsOf, nowMs } = options;
  const readStore = shareReads(options.readChanges);

  async function ask(gateway: string, attempt: string, service: string): Promise<StreamKnowledge> {
    const params = [attempt, service];
    const timeoutMs = ASK_TIMEOUT_MS;
    const answer = await rpc.call<FindAnswer>(gateway, RpcMethod.StreamsFind, params, {
      timeoutMs,
    });
    const known = answer.unwrapOr(null);
    return known !== null && 'versions' in known ? known : { origin: known, versions: [] };
  }

  function onlyVersion(service: string): string | null {
    const [version = null, ...others] = versionsOf(service);
    return others.length === 0 ? version : null;
  }

  /** Returns whether a second version would be known here. */
  function knowsAllVersions(): boolean {
    const hasFreshNews = nowMs() - view.confirmedAtMs < FRESH_NEWS_MS;
    return hasFreshNews && isHistoryLong(history, nowMs());
  }

  async function askScheduler(service: string, attempt: string): Promise<StreamOrigin | null> {
    const scheduler = schedulerOf(service);
    if (scheduler === selfId) return null;
    return (await ask(scheduler, attempt, service)).origin;
  }

  /** Returns the version that a gateway saw begin: the one that remembers it, or that forwarded it. */
  async function confirm(attempt: string, origin: StreamOrigin): Promise<string | null> {
    const { source, gateway, version } = origin;
    if (source === OriginSource.Begun) return version;
    if (gateway === selfId || gateway === UNKNOWN_GATEWAY) return null;
    const { origin: better } = await ask(gateway, attempt, '');
    return better?.source === OriginSource.Begun ? better.version : null;
  }

  async function askAll(attempt: string, service: string): Promise<ToldByAll> {
    const answers = await Promise.all(
      recent.others().map((gateway) => ask(gateway, attempt, service)),
    );
    return {
      origins: answers.flatMap(({ origin }) => origin ?? []),
      versions: answers.flatMap(({ versions }) => versions),
    };
  }

  /**
   * Finds the latest assignment, among those that gateways remember and those in the store. Without the
   * store an assignment proves nothing, as a later turn may have begun the stream at another version.
   */
  async function findAssigned(
    attempt: string,
    granted: readonly StreamOrigin[],
  ): Promise<string | null> {
    if (attempt === '' || !(await readStore())) return null;
    const stored = storedOriginOf(view.storedOrigins, attempt, nowMs());
    const remembered = granted.map(({ turn = 0, version }): TurnOrigin => ({ turn, version }));
    return latestOrigin(stored === null ? remembered : [...remembered, stored])?.version ?? null;
  }

  /** Finds the version of a stream of which a gateway knows only what it assigned. */
  async function findOfGrant(
    service: string,
    attempt: string,
    origin: StreamOrigin,
    source: VersionSource,
  ): Promise<Found | null> {
    const begun = await confirm(attempt, origin);
    if (begun !== null) return [begun, source];
    if (onlyVersion(service) === origin.version) return [origin.version, source];
    const assigned = await findAssigned(attempt, [origin]);
    if (assigned !== null) return [assigned, VersionSource.Stored];
    const { origins: told } = await askAll(attempt, service);
    const began = agreedVersion(told.filter(isBegun));
    return began === null ? null : [began, VersionSource.Gateways];
  }

  function find(attempt: string): StreamOrigin | null {
    const own = originOf(origins, attempt);
    const stored = own === null ? storedOriginOf(view.storedOrigins, attempt, nowMs()) : null;
    if (stored === null || stored.version === null) return own;
    const { turn, version } = stored;
    return { version, source: OriginSource.Granted, gateway: UNKNOWN_GATEWAY, turn };
  }

  /** Finds the version of a stream, beginning with what is cheap and sure. */
  async function findVersion(service: string, attempt: string): Promise<Found | null> {
    const own = find(attempt);
    if (own !== null) return findOfGrant(service, attempt, own, VersionSource.Own);
    const scheduled = await askScheduler(service, attempt);
    if (scheduled !== null) {
      return findOfGrant(service, attempt, scheduled, VersionSource.Scheduler);
    }
    const only = onlyVersion(service);
    if (only !== null && knowsAllVersions()) return [only, VersionSource.OnlyVersion];
    const told = await askAll(attempt, service);
    const begun = told.origins.filter(isBegun);
    const agreed = agreedVersion(begun);
    if (agreed !== null) return [agreed, VersionSource.Gateways];
    // Without this check, a gateway that the store rejects would resume streams of a version that it
    // does not know at the only one that it knows.
    const named = [...told.versions, ...told.origins.map(({ version }) => version)];
    if (only !== null && named.every((version) => version === only)) {
      return [only, VersionSource.OnlyInView];
    }
    const assigned = begun.length > 0 ? null : await findAssigned(attempt, told.origins);
    return assigned === null ? null : [assigned, VersionSource.Stored];
  }

  return { find, findVersion };
}
