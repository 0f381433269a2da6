/**
 * Keeps each stream to the software version that began it, and remembers these versions. The gateway
 * that forwarded a stream knows its version, and so does the one that schedules its service. A gateway
 * that is both tells another one of its streams while several versions are about. What the scheduling
 * gateway assigned is also in the platform's store then, for the case that all gateways are lost. No
 * stream that can be resumed is sent to an engine before the version record lists its version.
 */
import {
  type FleetView,
  OriginSource,
  type StreamOrigin,
  type AssignmentLog,
  type Random,
  type StreamAssignment,
  type TargetEntry,
  createStreamOrigins,
  createVersionHistory,
  eraOf,
  isCompleteRecord,
  isHistoryLong,
  isVersionChange,
  logAssignment,
  mayRunAt,
  noteHistoryGap,
  noteOrigin,
  noteRecordedVersions,
  noteStoredOrigins,
  noteVersions,
  openVersion,
  recentAssignments,
  servingTargets,
  versionsInUse,
  EnginePhase,
} from '@cassiamast/coordination';
import type { FleetPort } from '@cassiamast/ports';
import type { RecentGateways } from './recent-gateways.js';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { Exchange } from './exchange.js';
import type { GatewayLog } from './gateway-log.js';
import { type StreamKnowledge, createStreamLookup } from './stream-lookup.js';
import { createStreamPublisher } from './stream-publisher.js';
import { createUnrecordedVersions } from './unrecorded-versions.js';
import { createVersionRecorder } from './version-recorder.js';

/** Streams that begin within this time are told to the other gateway together. */
const TELL_AFTER_MS = 50;
const TELL_TIMEOUT_MS = 500;
/** The fleet may not change for long, and a gateway without the store learns of no change. */
const NOTE_INTERVAL_MS = 1000;
/** Retry-after time while nobody knows the version; those who do may be back then. */
const UNKNOWN_RETRY_MS = 1000;
/** Retry-after time while no engine of the version serves. */
const GONE_RETRY_MS = 3000;

/** Why a stream can't go on, and when its caller may ask again. */
export interface VersionRefusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** The dependencies of the versions of streams. */
export interface StreamVersionsOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly rpc: RpcClient;
  readonly recent: RecentGateways;
  readonly schedulerOf: (service: string) => string;
  readonly fleet: Pick<
    FleetPort,
    'grantLease' | 'recordStreams' | 'readVersions' | 'recordVersions'
  >;
  /** Whether no gateway ran before this one and those that started with it. */
  readonly isFirstStart: () => boolean;
  /** Returns the targets of a service that take no requests now, as far as they have told. */
  readonly unavailable: (service: string) => readonly string[];
  /** Applies all changes of the store up to now; resolves with whether it has answered. */
  readonly readChanges: () => Promise<boolean>;
  /** Higher than any number of batches that an earlier start of this gateway has written. */
  readonly firstSequence: number;
  readonly random: Random;
  readonly nowMs: () => number;
  readonly sleep: (delayMs: number) => Promise<unknown>;
  readonly log: GatewayLog;
  readonly count: (name: string) => void;
}

/** The versions at which streams began. */
export interface StreamVersions {
  /** Records the versions of the targets in the view; must be called with each change of it. */
  readonly refresh: () => void;
  /** Must be called when the store has come back from an older copy. */
  readonly noteRestored: () => void;
  /** Records that this process granted an engine for a turn of a gateway. */
  readonly noteGranted: (grant: EngineGrant) => void;
  /**
   * Begins a turn that the scheduler gave an engine. Resolves with why it must not be sent to the engine,
   * or null if it may.
   */
  readonly beginTurn: (
    exchange: Exchange,
    jobId: string,
    target: TargetEntry,
  ) => Promise<string | null>;
  /** Records that a turn is over. */
  readonly endTurn: (exchange: Exchange, jobId: string) => void;
  /** Returns the version that a further turn must keep to now; null if there is none. */
  readonly keptVersion: (exchange: Exchange) => string | null;
  /** Records the version that brought the first event of a stream, and keeps the stream to it. */
  readonly noteBegun: (exchange: Exchange) => void;
  /** Finds the version of a stream that is taken up. Returns why it can't go on, or null. */
  readonly takeUp: (exchange: Exchange) => Promise<VersionRefusal | null>;
  /** Returns why a stream can't go on now, or null if it can or has not begun yet. */
  readonly refusal: (exchange: Exchange) => VersionRefusal | null;
  /** Returns the engines that a stream must not be given because of their versions. */
  readonly excludedEngines: (exchange: Exchange) => readonly string[];
  /** Answers another gateway with what is known here. */
  readonly find: (attempt: string, service: string) => StreamKnowledge;
  /** Answers another gateway after the store was read. */
  readonly readAndFind: (attempt: string, service: string) => Promise<StreamKnowledge>;
  /** Records streams that another gateway forwards. */
  readonly receive: (
    streams: readonly (readonly [string, string])[],
    gateway: string,
    /** Origins that the other gateway has failed to write; absent from one of the last release. */
    unwritten?: readonly StreamAssignment[],
    /** The era of the store in which these engines were assigned; absent likewise. */
    era?: number,
  ) => void;
  /** Writes what is queued for the store, and nothing more. */
  readonly stop: () => Promise<void>;
}

/** An engine that was granted to a job. */
export interface EngineGrant {
  readonly jobId: string;
  /** The gateway that forwards the stream. */
  readonly gateway: string;
  readonly engine: string;
  /** The version that the stream must keep to; null if it has none yet. */
  readonly keptVersion: string | null;
}

/** Creates the versions of streams. */
export function createStreamVersions(options: StreamVersionsOptions): StreamVersions {
  const { selfId, view, rpc, recent, schedulerOf, nowMs, log, count } = options;
  const origins = createStreamOrigins();
  const history = createVersionHistory();
  const assignments: AssignmentLog = new Map();
  const publisher = createStreamPublisher(options);
  const recorder = createVersionRecorder({ ...options, history });
  const unrecorded = createUnrecordedVersions({ ...options, recorder });
  const lookup = createStreamLookup({
    ...options,
    origins,
    history,
    versionsOf,
    readRecord: recorder.read,
  });
  /** Services with more versions than one, or maybe more, whose assignments are written to the store. */
  const severalVersions = new Set<string>();
  let notedAtMs = -Infinity;
  /** Streams that another gateway is to be told of, with their versions. */
  let untold: (readonly [string, string])[] = [];

  function remember(attempt: string, origin: StreamOrigin): void {
    noteOrigin(origins, attempt, origin, nowMs());
  }

  /** The attempts that name this stream: the one that brought its first event, and this one. */
  function attemptsOf({ id, head }: Exchange): readonly string[] {
    return head.resumes === null ? [id] : [head.resumes, id];
  }

  function noteTargets(): void {
    notedAtMs = nowMs();
    // The history begins with the first listing, and other gateways may ask before it.
    if (view.revision === 0) return;
    const listed = [...view.targets.values()].filter(({ goneAtMs }) => goneAtMs === null);
    const entries = listed.map(({ entry }) => entry);
    noteVersions(history, entries, notedAtMs);
    for (const service of history.recorded.keys()) {
      if (!view.versionRecords.has(service)) history.recorded.delete(service);
    }
    for (const [service, record] of view.versionRecords) {
      noteRecordedVersions(history, service, record, notedAtMs);
    }
    for (const service of history.lastSeenMs.keys()) noteSeveralVersions(service);
  }

  /** Returns whether a service may have had several versions lately, as far as this gateway has read. */
  function mayHaveSeveral(service: string): boolean {
    const record = view.versionRecords.get(service);
    if (versionsInUse(history, record, service, nowMs()).length > 1) return true;
    return !isCompleteRecord(record) && !isHistoryLong(history, nowMs());
  }

  /** Publishes the assignments of the last seconds of a service that may have got a second version. */
  function noteSeveralVersions(service: string): void {
    if (!mayHaveSeveral(service)) {
      severalVersions.delete(service);
      return;
    }
    if (severalVersions.has(service)) return;
    severalVersions.add(service);
    publisher.publish(recentAssignments(assignments, service, nowMs()));
  }

  function refreshHistory(): void {
    if (nowMs() - notedAtMs > NOTE_INTERVAL_MS) noteTargets();
  }

  /** Returns the versions that a service had lately. Those of targets in the view still count. */
  function versionsOf(service: string): readonly string[] {
    refreshHistory();
    return versionsInUse(history, view.versionRecords.get(service), service, nowMs());
  }

  /** Tells another gateway, as the loss of this one would lose both who know. */
  function backUp(exchange: Exchange, version: string): void {
    const { service } = exchange;
    if (schedulerOf(service) !== selfId) return;
    if (versionsOf(service).length < 2) return;
    if (untold.length === 0) setTimeout(tellBackup, TELL_AFTER_MS);
    untold.push(...attemptsOf(exchange).map((attempt) => [attempt, version] as const));
  }

  function tellBackup(): void {
    const streams = untold;
    untold = [];
    const [backup] = [...view.gateways.values()]
      .filter(({ id }) => id !== selfId)
      .sort((left, right) => left.announcedAtRevision - right.announcedAtRevision);
    if (backup === undefined) return;
    const timeoutMs = TELL_TIMEOUT_MS;
    void rpc
      .call(backup.id, RpcMethod.StreamsTell, [streams, selfId], { timeoutMs })
      .then((told) => {
        if (told.isErr()) count('stream_versions_untold_total');
      });
  }

  /**
   * Resolves with whether an earlier turn may have been assigned another version. The scheduler may know
   * a version that this gateway has not heard of.
   */
  async function mayHaveChangedVersion(
    { service, turnVersions }: Exchange,
    version: string,
  ): Promise<boolean> {
    if (!isVersionChange(turnVersions, version)) return false;
    refreshHistory();
    if (!mayHaveSeveral(service)) await lookup.readChanges();
    return mayHaveSeveral(service);
  }

  /** Returns the engines of other versions than the one that a stream must keep to. */
  function otherVersions(service: string, kept: string): readonly string[] {
    return [...view.targets.values()]
      .filter(({ entry }) => entry.service === service && entry.version !== kept)
      .map(({ entry }) => entry.id);
  }

  function refusal({ service, version }: Exchange): VersionRefusal | null {
    if (version === null) return null;
    const decodes = servingTargets(view, service, nowMs()).some(
      (entry) => entry.version === version && entry.phase !== EnginePhase.Prefill,
    );
    if (decodes) return null;
    const reason = `no engine of version ${version}, which began the stream, serves`;
    return { reason, retryAfterMs: GONE_RETRY_MS };
  }

  /** Returns what the log tells of the versions of a service when one of its streams is taken up. */
  function knownVersions(service: string): Readonly<Record<string, unknown>> {
    const record = view.versionRecords.get(service);
    return {
      recentVersions: versionsOf(service),
      recordedVersions: record?.versions ?? [],
      isRecordComplete: isCompleteRecord(record),
      newsAgeMs: Math.round(nowMs() - view.confirmedAtMs),
    };
  }

  function refuse(exchange: Exchange, refused: VersionRefusal): VersionRefusal {
    count('streams_not_taken_up_total');
    log.info('stream not taken up', {
      request: exchange.id,
      resumes: exchange.head.resumes,
      version: exchange.version,
      reason: refused.reason,
      ...knownVersions(exchange.service),
    });
    return refused;
  }

  return {
    refresh: () => {
      noteTargets();
      recent.note();
      recorder.update();
    },
    noteGranted: ({ jobId, gateway, engine, keptVersion }) => {
      const entry = view.targets.get(engine)?.entry;
      if (entry === undefined) return;
      const [attempt, turn] = splitJobId(jobId);
      // An engine of another version is not used, and its grant must not count as the latest one.
      const version = keptVersion ?? entry.version;
      const era = eraOf(view.revision);
      remember(attempt, { version, source: OriginSource.Granted, gateway, turn, era });
      const assignment: StreamAssignment = [attempt, turn, version];
      logAssignment(assignments, entry.service, assignment, nowMs());
      refreshHistory();
      if (mayHaveSeveral(entry.service)) {
        publisher.publish([assignment]);
        return;
      }
      // The record may have become complete after the last refresh, and a second version must still
      // publish this assignment.
      severalVersions.delete(entry.service);
    },
    noteRestored: () => {
      noteHistoryGap(history, nowMs());
      // The origin of a later turn may be lost, after which those of earlier ones prove nothing.
      assignments.clear();
    },
    beginTurn: async (exchange, jobId, { version }) => {
      const { turnVersions } = exchange;
      if (!mayRunAt(turnVersions, version)) {
        return `an attempt at version ${String(openVersion(turnVersions))} is open`;
      }
      turnVersions.open.set(jobId, version);
      if (exchange.version !== null) return null;
      if (!(await unrecorded.mayBeginAt(exchange, version))) {
        return `the version record does not list version ${version}`;
      }
      if (!(await mayHaveChangedVersion(exchange, version))) return null;
      count('stream_versions_changed_total');
      const isStored = await publisher.publishNow([...splitJobId(jobId), version]);
      return isStored ? null : 'the store has not taken the change of version';
    },
    endTurn: ({ turnVersions }, jobId) => {
      turnVersions.open.delete(jobId);
    },
    keptVersion,
    noteBegun: (exchange) => {
      const version = exchange.version ?? exchange.sentVersion;
      if (version === null) return;
      exchange.version = version;
      for (const attempt of attemptsOf(exchange)) {
        remember(attempt, { version, source: OriginSource.Begun, gateway: selfId });
      }
      backUp(exchange, version);
      log.info('stream began', { request: exchange.id, target: exchange.lastTarget, version });
    },
    takeUp: async (exchange) => {
      const { head, service } = exchange;
      if (head.resumes === null && head.lastEventId === null) return null;
      const found = await lookup.findVersion(service, head.resumes ?? '');
      if (found === null) {
        const reason = 'the version that began the stream is not known';
        return refuse(exchange, { reason, retryAfterMs: UNKNOWN_RETRY_MS });
      }
      const [version, source] = found;
      exchange.version = version;
      count('streams_taken_up_total');
      log.info('stream taken up', {
        request: exchange.id,
        resumes: head.resumes,
        version,
        source,
        ...knownVersions(service),
      });
      // Engines of the version may have appeared since this gateway's last news.
      if (refusal(exchange) !== null) await lookup.readChanges();
      const refused = refusal(exchange);
      return refused === null ? null : refuse(exchange, refused);
    },
    refusal,
    excludedEngines: (exchange) => {
      const version = keptVersion(exchange);
      if (version === null) return unrecorded.enginesToAvoid(exchange);
      return otherVersions(exchange.service, version);
    },
    find: lookup.find,
    readAndFind: lookup.readAndFind,
    receive: (streams, gateway, unwritten = [], era = 0) => {
      for (const [attempt, version] of streams) {
        remember(attempt, { version, source: OriginSource.Begun, gateway });
      }
      if (era >= eraOf(view.revision)) noteStoredOrigins(view.storedOrigins, unwritten, nowMs());
      publisher.publishForPeer(unwritten, era);
    },
    stop: publisher.stop,
  };
}

/** Returns the version that began a stream, or that an open attempt at it runs at. */
function keptVersion({ version, turnVersions }: Exchange): string | null {
  return version ?? openVersion(turnVersions);
}

/** Returns the attempt and the turn of a job; attempts may contain slashes. */
function splitJobId(jobId: string): readonly [attempt: string, turn: number] {
  const end = jobId.lastIndexOf('/');
  return [jobId.slice(0, end), Number(jobId.slice(end + 1))];
}
