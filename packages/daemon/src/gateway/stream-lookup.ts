/**
 * Finds the software version at which a stream began: in the memory of this gateway and of others, in
 * the origins that the platform's store holds, and from the versions that the service had recently.
 * Only what the store has at the moment proves that there is no other version, as any other news may be
 * older than the stream. A gateway that the store does not answer asks others to read it.
 */
import {
  type FleetView,
  OriginSource,
  type StreamOrigin,
  type StreamOrigins,
  type TurnOrigin,
  type VersionHistory,
  agreedVersion,
  eraOf,
  isCompleteRecord,
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
/** Time limit of a reading of the store, and of gateways that are to read it first. */
const READ_TIMEOUT_MS = 1000;
const ASK_READ_TIMEOUT_MS = 1200;
/** A store that has not answered by then may be answering others. */
const SLOW_READ_MS = 300;
/** Stands for the gateway that forwards a stream where only its origin in the store is known. */
const UNKNOWN_GATEWAY = '';

/** How the version of a stream was learned; the values are logged. */
export enum VersionSource {
  Own = 'own memory',
  Scheduler = 'the scheduling gateway',
  OnlyVersion = 'the only version in the store',
  Gateways = 'other gateways',
  Stored = 'the store',
  OnlyKnown = 'the only version that all gateways know',
}

/** What a gateway knows of a stream, and the versions that its service had recently. */
export interface StreamKnowledge {
  readonly origin: StreamOrigin | null;
  readonly versions: readonly string[];
  /** Whether the store was read for this answer. Absent from gateways of the last release. */
  readonly isRead?: boolean;
  /** Whether these are all versions at which streams may have begun; absent as above. */
  readonly isComplete?: boolean;
  /** The origin in the store as of that reading; absent as above. */
  readonly stored?: TurnOrigin | null;
  /** The era of the store as of that reading; absent as above. */
  readonly era?: number;
}

/** The answer of a gateway two releases ago has the origin only. */
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
  /** Reads the version record of a service as the store has it now; resolves as above. */
  readonly readRecord: (service: string) => Promise<boolean>;
  /** What this gateway saw begin or assigned. */
  readonly origins: StreamOrigins;
  readonly history: VersionHistory;
  /** Returns the versions that a service had recently. */
  readonly versionsOf: (service: string) => readonly string[];
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number) => Promise<unknown>;
}

/** Finds versions of streams. */
export interface StreamLookup {
  /** Returns what this gateway knows of a stream and of the versions of its service. */
  readonly find: (attempt: string, service: string) => StreamKnowledge;
  /** The same, after the store was read. */
  readonly readAndFind: (attempt: string, service: string) => Promise<StreamKnowledge>;
  /** Applies all changes of the store up to now; resolves with whether it has answered in time. */
  readonly readChanges: () => Promise<boolean>;
  /** Finds the version of a stream by the attempt that began it; null if it is not known. */
  readonly findVersion: (service: string, attempt: string) => Promise<Found | null>;
}

/** A version and how it was learned. */
export type Found = readonly [string, VersionSource];

function isBegun({ source }: StreamOrigin): boolean {
  return source === OriginSource.Begun;
}

function originsOf(answers: readonly StreamKnowledge[]): readonly StreamOrigin[] {
  return answers.flatMap(({ origin }) => origin ?? []);
}

/** Returns whether the answer of one gateway settles the version of a stream. */
function isConclusive({ origin, versions, isRead, isComplete }: StreamKnowledge): boolean {
  if (origin !== null && isBegun(origin)) return true;
  return isRead === true && isComplete === true && versions.length === 1;
}

/** Resolves with the answers up to one that is conclusive, or with all of them. */
async function answersUntil<Answer>(
  asked: readonly Promise<Answer | null>[],
  isEnough: (answer: Answer) => boolean,
): Promise<readonly Answer[]> {
  const answers: Answer[] = [];
  await new Promise<void>((resolve) => {
    const received = asked.map(async (each) => {
      const answer = await each;
      if (answer === null) return;
      answers.push(answer);
      if (isEnough(answer)) resolve();
    });
    void Promise.all(received).then(() => {
      resolve();
    });
  });
  return [...answers];
}

/**
 * Returns the assignments of an era of the store, or a later one, that gateways remember themselves.
 * What a gateway has only read may be outdated, and an earlier era may have had a later turn.
 */
function rememberedTurns(origins: readonly StreamOrigin[], inEra: number): readonly TurnOrigin[] {
  return origins
    .filter(({ gateway, era = 0 }) => gateway !== UNKNOWN_GATEWAY && era >= inEra)
    .map(({ turn = 0, version }) => ({ turn, version }));
}

function soleVersion(versions: Iterable<string>): string | null {
  const [version = null, ...others] = new Set(versions);
  return others.length === 0 ? version : null;
}

/** Creates the lookup. */
export function createStreamLookup(options: StreamLookupOptions): StreamLookup {
  const { selfId, view, rpc, recent, schedulerOf, origins, history, versionsOf } = options;
  const { nowMs, sleep } = options;
  const readSharedChanges = shareReads(options.readChanges);

  /** Asks a gateway; null if it does not answer. */
  async function ask(
    gateway: string,
    attempt: string,
    service: string,
    mustRead = false,
  ): Promise<StreamKnowledge | null> {
    const params = [attempt, service, mustRead];
    const timeoutMs = mustRead ? ASK_READ_TIMEOUT_MS : ASK_TIMEOUT_MS;
    const answer = await rpc.call<FindAnswer>(gateway, RpcMethod.StreamsFind, params, {
      timeoutMs,
    });
    if (answer.isErr()) return null;
    const known = answer.value;
    return known !== null && 'versions' in known ? known : { origin: known, versions: [] };
  }

  async function askAll(
    attempt: string,
    service: string,
    mustRead: boolean,
  ): Promise<readonly StreamKnowledge[]> {
    const asked = recent.others().map((gateway) => ask(gateway, attempt, service, mustRead));
    return answersUntil(asked, isConclusive);
  }

  async function askScheduler(service: string, attempt: string): Promise<StreamOrigin | null> {
    const scheduler = schedulerOf(service);
    if (scheduler === selfId) return null;
    return (await ask(scheduler, attempt, service))?.origin ?? null;
  }

  /** Returns the version that a gateway saw begin: the one that remembers it, or that forwarded it. */
  async function confirm(attempt: string, origin: StreamOrigin): Promise<string | null> {
    const { source, gateway, version } = origin;
    if (source === OriginSource.Begun) return version;
    if (gateway === selfId || gateway === UNKNOWN_GATEWAY) return null;
    const better = (await ask(gateway, attempt, ''))?.origin ?? null;
    return better?.source === OriginSource.Begun ? better.version : null;
  }

  /** Resolves with whether a read has succeeded; at once if the store's last answer is overdue. */
  async function inTime(read: () => Promise<boolean>): Promise<boolean> {
    if (nowMs() > view.outageFromMs) return false;
    return Promise.race([read(), sleep(READ_TIMEOUT_MS).then(() => false)]);
  }

  function readChanges(): Promise<boolean> {
    return inTime(readSharedChanges);
  }

  function readRecord(service: string): Promise<boolean> {
    return inTime(() => options.readRecord(service));
  }

  /** Returns whether every version at which a stream may have begun is known, as of the last reading. */
  function knowsAllVersions(service: string): boolean {
    const record = view.versionRecords.get(service);
    if (isCompleteRecord(record)) return true;
    // A read may have shown a restore of the store that the view does not have yet.
    const era = Math.max(eraOf(view.revision), eraOf(record?.revision ?? 0));
    return era === eraOf(view.revision) && isHistoryLong(history, nowMs());
  }

  function findOrigin(attempt: string): StreamOrigin | null {
    const own = originOf(origins, attempt);
    const stored = own === null ? storedOriginOf(view.storedOrigins, attempt, nowMs()) : null;
    if (stored === null || stored.version === null) return own;
    const { turn, version } = stored;
    return { version, source: OriginSource.Granted, gateway: UNKNOWN_GATEWAY, turn };
  }

  function find(attempt: string, service: string): StreamKnowledge {
    return { origin: findOrigin(attempt), versions: versionsOf(service) };
  }

  async function readAndFind(attempt: string, service: string): Promise<StreamKnowledge> {
    const areRead = await Promise.all([readRecord(service), readChanges()]);
    const isRead = areRead.every((each) => each);
    const stored = storedOriginOf(view.storedOrigins, attempt, nowMs());
    const isComplete = knowsAllVersions(service);
    return { ...find(attempt, service), isRead, isComplete, stored, era: eraOf(view.revision) };
  }

  /**
   * Finds the latest assignment, among those that gateways remember and those in the store. Without the
   * store an assignment proves nothing, as a later turn may have begun the stream at another version.
   */
  async function findAssigned(
    attempt: string,
    assigned: readonly StreamOrigin[],
  ): Promise<Found | null> {
    if (attempt === '' || !(await readChanges())) return null;
    const stored = storedOriginOf(view.storedOrigins, attempt, nowMs());
    const remembered = rememberedTurns(assigned, eraOf(view.revision));
    const latest = latestOrigin(stored === null ? remembered : [...remembered, stored]);
    return latest?.version == null ? null : [latest.version, VersionSource.Stored];
  }

  /** Finds the version of a stream that no gateway is known to have begun, while the store answers. */
  async function findByStore(
    service: string,
    attempt: string,
    assigned: readonly StreamOrigin[],
    source: VersionSource,
  ): Promise<Found | null> {
    // The answer to a read of a record that is not there does not tell the era of the store.
    const isEraKnown = view.versionRecords.has(service) || (await readChanges());
    const only = soleVersion(versionsOf(service));
    const isOnly = isEraKnown && only !== null && knowsAllVersions(service);
    const isAgreed = assigned.every(({ version }) => version === only);
    if (isOnly && isAgreed) return [only, source];
    const latest = await findAssigned(attempt, assigned);
    if (latest !== null) return latest;
    const answers = await askAll(attempt, service, false);
    const begun = agreedVersion(originsOf(answers).filter(isBegun));
    if (begun !== null) return [begun, VersionSource.Gateways];
    return findAssigned(attempt, [...assigned, ...originsOf(answers)]);
  }

  /** The same while the store does not answer this gateway: others that it answers read it. */
  async function findByGateways(
    service: string,
    attempt: string,
    assigned: readonly StreamOrigin[],
  ): Promise<Found | null> {
    const answers = await askAll(attempt, service, true);
    const told = [...assigned, ...originsOf(answers)];
    const begun = told.filter(isBegun);
    if (begun.length > 0) {
      const agreed = agreedVersion(begun);
      return agreed === null ? null : [agreed, VersionSource.Gateways];
    }
    const reading = answers.filter(({ isRead }) => isRead === true);
    const versions = [...versionsOf(service), ...answers.flatMap((answer) => answer.versions)];
    const only = soleVersion([...versions, ...told.map(({ version }) => version)]);
    if (reading.length > 0) {
      const isComplete = reading.some((answer) => answer.isComplete === true);
      if (only !== null && isComplete) return [only, VersionSource.Gateways];
      // The store may have a later assignment than a gateway remembers, or another one of its turn.
      const stored = reading.flatMap((answer) => answer.stored ?? []);
      const era = Math.max(...reading.map((answer) => answer.era ?? 0));
      const latest = latestOrigin([...rememberedTurns(told, era), ...stored]);
      return latest?.version == null ? null : [latest.version, VersionSource.Gateways];
    }
    // The store may have answered a gateway that is gone, and taken a version that no other one knows.
    // A gateway that knows no other one can't tell who that was.
    const complete = answers.filter(({ isComplete }) => isComplete === true);
    const areAll = complete.length > 0 && complete.length === recent.others().length;
    const knowAll = areAll && knowsAllVersions(service);
    return only !== null && knowAll ? [only, VersionSource.OnlyKnown] : null;
  }

  /** Finds the version of a stream, beginning with what is cheap and sure. */
  async function findVersion(service: string, attempt: string): Promise<Found | null> {
    const own = findOrigin(attempt);
    const origin = own ?? (await askScheduler(service, attempt));
    const source = own === null ? VersionSource.Scheduler : VersionSource.Own;
    const begun = origin === null ? null : await confirm(attempt, origin);
    if (begun !== null) return [begun, source];
    const assigned = origin === null ? [] : [origin];
    const byStore = (): Promise<Found | null> =>
      findByStore(service, attempt, assigned, origin === null ? VersionSource.OnlyVersion : source);
    const reading = readRecord(service);
    if (await Promise.race([reading, sleep(SLOW_READ_MS).then(() => false)])) return byStore();
    const found = await findByGateways(service, attempt, assigned);
    if (found !== null) return found;
    return (await reading) ? byStore() : null;
  }

  return { find, readAndFind, readChanges, findVersion };
}
