/**
 * The versions of streams among gateways that are killed, one or all of them, and lose the store: a
 * stream that is taken up goes on at the version that began it or is refused, and it goes on if a
 * gateway or the store knows that version.
 */
import assert from 'node:assert/strict';
import { setImmediate as nextLoopTurn, setTimeout as sleep } from 'node:timers/promises';
import { describe, it } from 'node:test';
import {
  EnginePhase,
  type Failure,
  type FleetChange,
  FleetChangeKind,
  type FleetView,
  applyChanges,
  applyListing,
  createFleetView,
  createTurnVersions,
  seededRandom,
} from '@cassiamast/coordination';
import { KEY_VALUE_UNREACHABLE } from '@cassiamast/ports';
import fc from 'fast-check';
import { type ResultAsync, errAsync, okAsync } from 'neverthrow';
import type { Exchange } from '../../src/gateway/exchange.js';
import {
  type StreamVersions,
  type StreamVersionsOptions,
  createStreamVersions,
} from '../../src/gateway/stream-versions.js';
import { createRecentGateways } from '../../src/gateway/recent-gateways.js';
import type { RpcClient } from '../../src/node/rpc-client.js';
import { RpcMethod } from '../../src/protocol/methods.js';

const GATEWAYS = ['g0', 'g1', 'g2', 'g3'];
const VERSIONS = ['v1', 'v2'] as const;
const SERVICE = 's';
const TOLD_AFTER_MS = 120;
const RUNS = 1500;
const LONG_MS = 600_000;
/** A queued origin is in the store by then, if the store takes it. */
const STORED_AFTER_MS = 250;
/** Writes that failed are repeated by then. */
const RETRIED_AFTER_MS = 2000;
const STEP_MS = 50;

/** Ways in which a gateway could fail to know a version. */
enum Mutant {
  /** Who schedules does not remember what it granted. */
  ForgetsGrants = 'forgets-grants',
  /** Nobody answers. */
  NeverAsks = 'never-asks',
  /** Who forwarded the stream is not asked, so that a grant that failed counts. */
  GrantsAreCertain = 'grants-are-certain',
  WritesNoOrigins = 'writes-no-origins',
  WritesNoRecord = 'writes-no-record',
  /** A turn at another version than an earlier one is sent before its origin is stored. */
  ChangesVersionUnstored = 'changes-version-unstored',
  /** A grant that the stream must not use counts as the latest one. */
  RecordsUnusableGrants = 'records-unusable-grants',
  /** A turn runs while an attempt at another version is open. */
  RunsTwoVersions = 'runs-two-versions',
  /** What was read earlier counts as what the store has now. */
  TrustsOldNews = 'trusts-old-news',
  /** A gateway that the store rejects does not learn of new versions from others. */
  TrustsOwnView = 'trusts-own-view',
  /** What was assigned before a second version appeared is not stored. */
  ForgetsEarlierGrants = 'forgets-earlier-grants',
}

/** Mutants that draws hardly ever reach; a case of its own finds each. */
const DIRECTED: readonly Mutant[] = [Mutant.TrustsOwnView, Mutant.ForgetsEarlierGrants];

/** How the turns of a stream went before its first event. */
enum Turns {
  One = 'one',
  /** The answer of a scheduler with an engine of another version was lost, and another one was asked. */
  LostAnswer = 'lost-answer',
  /** The first turn failed at another version. */
  ChangedVersion = 'changed-version',
  /** While the engine is silent, a scheduler assigns one of another version that it must avoid. */
  Unusable = 'unusable',
}

interface Gateway {
  readonly view: FleetView;
  readonly versions: StreamVersions;
}

/** A stream and the processes that know its version. */
interface Stream {
  readonly attempt: string;
  readonly version: string;
  readonly knownBy: readonly Gateway[];
  readonly turns: Turns;
  readonly granting: Gateway;
  readonly beganAtMs: number;
  /** Whether the store has its origin. */
  isStored: boolean;
}

function away(call: string): ResultAsync<never, Failure> {
  return errAsync(
    KEY_VALUE_UNREACHABLE.of({ call, endpoint: 'store', mayHaveRun: false, detail: 'away' }),
  );
}

/** A store of origins and version records that rejects some gateways. */
function createStore(mutant: Mutant | null, serving: ReadonlySet<string>) {
  const changes: FleetChange[] = [];
  const records = new Map<string, { readonly versions: readonly string[]; revision: number }>();
  const rejected = new Set<string>();
  let revision = 1;

  function fleetOf(id: string): StreamVersionsOptions['fleet'] {
    return {
      grantLease: () =>
        rejected.has(id) ? away('lease') : okAsync({ leaseId: '1', ttlMs: 30_000, era: 0 }),
      recordStreams: (_, streams) => {
        if (rejected.has(id)) return away('streams');
        if (mutant === Mutant.WritesNoOrigins) return okAsync(null);
        revision += 1;
        changes.push({ kind: FleetChangeKind.Streams, revision, streams });
        return okAsync(null);
      },
      recordVersions: (service, versions, modRevision) => {
        if (rejected.has(id)) return away('versions');
        const succeeded = (records.get(service)?.revision ?? 0) === modRevision;
        if (!succeeded) return okAsync({ succeeded, revision, current: [] });
        if (mutant === Mutant.WritesNoRecord) return okAsync({ succeeded, revision, current: [] });
        revision += 1;
        records.set(service, { versions, revision });
        changes.push({ kind: FleetChangeKind.Versions, revision, service, versions });
        return okAsync({ succeeded, revision, current: [] });
      },
    };
  }

  return {
    fleetOf,
    rejected,
    list: (view: FleetView, nowMs: number): void => {
      applyListing(view, changes, revision, nowMs);
    },
    read: (id: string, { view, versions }: Gateway, nowMs: number): boolean => {
      if (rejected.has(id)) return false;
      const unread = changes.filter((change) => change.revision > view.revision);
      applyChanges(view, unread, revision, nowMs);
      for (const version of serving) addVersion(view, version);
      versions.refresh();
      return true;
    },
  };
}

/** Gateways that call each other, the first of which schedules. */
function createNetwork(mutant: Mutant | null, versionsAtStart: readonly string[] = VERSIONS) {
  const gateways = new Map<string, Gateway>();
  const order = [...GATEWAYS];
  const streams: Stream[] = [];
  const serving = new Set<string>(versionsAtStart);
  const store = createStore(mutant, serving);
  let timers: { readonly dueMs: number; readonly fire: (value: null) => void }[] = [];
  let attempts = 0;
  let nowMs = 1;
  const scheduler = (): string => order[0] ?? '';

  function call(peer: string, method: RpcMethod, params: unknown) {
    const gateway = gateways.get(peer);
    const isIgnored =
      method === RpcMethod.StreamsFind &&
      (mutant === Mutant.NeverAsks || (mutant === Mutant.GrantsAreCertain && peer !== scheduler()));
    if (gateway === undefined || isIgnored) return away(method);
    if (method === RpcMethod.StreamsFind) {
      const known = gateway.versions.find(...(params as [string, string]));
      const versions = mutant === Mutant.TrustsOwnView ? [] : known.versions;
      return okAsync({ ...known, versions });
    }
    gateway.versions.receive(...(params as Parameters<StreamVersions['receive']>));
    return okAsync(null);
  }

  function start(id: string): void {
    const view = createFleetView();
    view.confirmedAtMs = 0;
    const spec = { name: SERVICE, engine: {} };
    view.table = { servicesByName: new Map([[SERVICE, spec]]) } as never;
    store.list(view, nowMs);
    for (const version of serving) addVersion(view, version);
    for (const [index, other] of order.entries()) {
      view.gateways.set(other, { id: other, announcedAtRevision: index } as never);
    }
    const versions = createStreamVersions({
      selfId: id,
      view,
      rpc: { call } as unknown as RpcClient,
      recent: createRecentGateways(view, id, () => nowMs),
      schedulerOf: scheduler,
      fleet: store.fleetOf(id),
      readChanges: () => {
        const isRead = mutant === Mutant.TrustsOldNews || store.read(id, gateway, nowMs);
        return Promise.resolve(isRead);
      },
      firstSequence: 1,
      random: seededRandom(1),
      nowMs: () => nowMs,
      sleep: (delayMs) =>
        new Promise((resolve) => timers.push({ dueMs: nowMs + delayMs, fire: resolve })),
      log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
      count: () => undefined,
    });
    const gateway = { view, versions };
    versions.refresh();
    gateways.set(id, gateway);
  }

  async function pass(forMs: number): Promise<void> {
    const endsAtMs = nowMs + forMs;
    while (nowMs < endsAtMs) {
      nowMs = Math.min(endsAtMs, nowMs + STEP_MS);
      const due = timers.filter(({ dueMs }) => dueMs <= nowMs);
      timers = timers.filter(({ dueMs }) => dueMs > nowMs);
      for (const { fire } of due) fire(null);
      await nextLoopTurn();
    }
  }

  /** Lets time pass, after which all gateways read what the store has. */
  async function passAndRead(forMs: number): Promise<void> {
    await pass(forMs);
    for (const [id, gateway] of gateways) store.read(id, gateway, nowMs);
  }

  /** Resolves with the answer of a call that may wait for time to pass. */
  async function passUntil<Answer>(answer: Promise<Answer>): Promise<Answer> {
    let isOver = false;
    void answer.finally(() => {
      isOver = true;
    });
    await nextLoopTurn();
    while (!isOver) await pass(STEP_MS);
    return answer;
  }

  /** Takes the turns of a stream; resolves with the version that begins it, or null if none does. */
  async function takeTurns(
    { versions }: Gateway,
    granting: Gateway,
    exchange: Exchange,
    [id, version, turns]: readonly [gateway: string, version: string, turns: Turns],
  ): Promise<string | null> {
    const other = VERSIONS.find((each) => each !== version) ?? '';
    const { assigned } = exchange.turnVersions;
    const grant = (turn: number, engine: string): string => {
      const jobId = `${exchange.id}/${String(turn)}`;
      const isAnyKept = mutant === Mutant.RecordsUnusableGrants;
      const keptVersion = isAnyKept ? null : versions.keptVersion(exchange);
      const isForgotten =
        mutant === Mutant.ForgetsGrants ||
        (mutant === Mutant.ForgetsEarlierGrants && serving.size < 2);
      if (!isForgotten) {
        granting.versions.noteGranted({ jobId, gateway: id, engine, keptVersion });
      }
      assigned.add(engine);
      return jobId;
    };
    const begin = async (jobId: string, at: string): Promise<boolean> => {
      if (mutant === Mutant.ChangesVersionUnstored && turns !== Turns.Unusable) return true;
      const target = { service: SERVICE, version: at } as never;
      return (await passUntil(versions.beginTurn(exchange, jobId, target))) === null;
    };
    if (turns === Turns.Unusable) {
      if (!(await begin(grant(1, version), version))) return null;
      const isRunning = await begin(grant(2, other), other);
      return isRunning || mutant === Mutant.RunsTwoVersions ? other : version;
    }
    if (turns === Turns.LostAnswer) {
      grant(1, other);
      await passAndRead(STORED_AFTER_MS);
      assigned.clear();
      assigned.add(null);
    }
    if (turns === Turns.ChangedVersion) {
      const failed = grant(1, other);
      if (!(await begin(failed, other))) return null;
      await passAndRead(STORED_AFTER_MS);
      versions.endTurn(exchange, failed);
    }
    const turn = turns === Turns.ChangedVersion ? 2 : 1;
    return (await begin(grant(turn, version), version)) ? version : null;
  }

  for (const id of GATEWAYS) start(id);
  return {
    /** Begins a stream. */
    begin: async (id: string, version: string, turns: Turns): Promise<void> => {
      const granting = gateways.get(scheduler());
      const forwarding = gateways.get(id);
      if (granting === undefined || forwarding === undefined) return;
      const needed = turns === Turns.One ? [version] : VERSIONS;
      if (!needed.every((each) => serving.has(each))) return;
      // Neither grants nor sends to an engine that it does not know.
      const known = [granting, forwarding].map(({ view }) => view.targets);
      if (!known.every((targets) => needed.every((each) => targets.has(each)))) return;
      const exchange = request(`a${String(attempts)}`, null, null);
      attempts += 1;
      const began = await takeTurns(forwarding, granting, exchange, [id, version, turns]);
      if (began === null) return;
      exchange.sentVersion = began;
      forwarding.versions.noteBegun(exchange);
      // A grant is no proof without the store if the answer of another one was lost.
      const knownBy = turns === Turns.One ? [forwarding, granting] : [forwarding];
      const stream = {
        attempt: exchange.id,
        version: began,
        knownBy,
        turns,
        granting,
        beganAtMs: nowMs,
      };
      streams.push({ ...stream, isStored: false });
    },
    kill: (ids: readonly string[]): void => {
      for (const id of ids) {
        order.splice(order.indexOf(id), 1);
        order.push(id);
        gateways.delete(id);
      }
      for (const id of ids) start(id);
    },
    /** Lets time pass with a store that takes all writes. */
    settle: async (): Promise<void> => {
      if (store.rejected.size > 0) return;
      await passAndRead(RETRIED_AFTER_MS);
      await passAndRead(STORED_AFTER_MS);
      for (const stream of streams) {
        const isAlive = [...gateways.values()].includes(stream.granting);
        // The origins of the turn contradict each other.
        if (isAlive && stream.turns !== Turns.LostAnswer) stream.isStored = true;
      }
    },
    reject: (ids: readonly string[]): void => {
      store.rejected.clear();
      for (const id of ids) store.rejected.add(id);
    },
    /** A version appears, which gateways that the store rejects do not see. */
    addVersion: (version: string): void => {
      serving.add(version);
      for (const [id, gateway] of gateways) store.read(id, gateway, nowMs);
    },
    removeVersion: (version: string): void => {
      serving.delete(version);
      for (const { view, versions } of gateways.values()) {
        view.targets.delete(version);
        versions.refresh();
      }
    },
    /** Removes a version while all gateways are down. */
    loseAll: (version: string): void => {
      serving.delete(version);
      gateways.clear();
      for (const id of GATEWAYS) start(id);
    },
    advance: (byMs: number): void => {
      nowMs += byMs;
    },
    passAndRead,
    resume: (id: string, exchange: Exchange) =>
      gateways.get(id)?.versions.takeUp(exchange) ?? Promise.resolve(null),
    /** Takes a stream up and checks how it goes on. */
    takeUp: async (id: string, number: number): Promise<void> => {
      const stream = streams[number % Math.max(1, streams.length)];
      const gateway = gateways.get(id);
      if (stream === undefined || gateway === undefined) return;
      const exchange = request('t', stream.attempt, null);
      const refusal = await passUntil(gateway.versions.takeUp(exchange));
      if (refusal === null) {
        assert.equal(exchange.version, stream.version);
        return;
      }
      const alive = [...gateways.values()];
      const isForwarderAlive = stream.knownBy[0] !== undefined && alive.includes(stream.knownBy[0]);
      const isKnown = isForwarderAlive || stream.knownBy.some((each) => alive.includes(each));
      const isReadable = !store.rejected.has(id);
      const mustGoOn = isForwarderAlive || ((isKnown || stream.isStored) && isReadable);
      if (mustGoOn) assert.ok(!serving.has(stream.version), `refused: ${refusal.reason}`);
    },
  };
}

function addVersion(view: FleetView, version: string): void {
  const entry = { id: version, service: SERVICE, version, phase: EnginePhase.Decode };
  view.targets.set(version, { entry, goneAtMs: null } as never);
}

function request(id: string, resumes: string | null, sentVersion: string | null): Exchange {
  const head = { resumes, lastEventId: resumes === null ? null : '1' };
  const turnVersions = createTurnVersions();
  const state = { version: null, sentVersion, turnVersions, lastTarget: '' };
  return { id, service: SERVICE, head, ...state } as Exchange;
}

type Network = ReturnType<typeof createNetwork>;
type Command = (network: Network) => void | Promise<void>;

const gateway = fc.constantFrom(...GATEWAYS);
const version = fc.constantFrom(...VERSIONS);
const begin: fc.Arbitrary<Command> = fc
  .tuple(gateway, version, fc.constantFrom(...Object.values(Turns)))
  .map((drawn) => (network) => network.begin(...drawn));
const killed = fc.oneof(fc.subarray(GATEWAYS, { minLength: 1 }), fc.constant(GATEWAYS));
const kill: fc.Arbitrary<Command> = killed.map((ids) => (network) => {
  network.kill(ids);
});
const remove: fc.Arbitrary<Command> = fc
  .tuple(version, fc.boolean())
  .map(([gone, areAllDown]) => (network) => {
    if (areAllDown) network.loseAll(gone);
    else network.removeVersion(gone);
  });
const add: fc.Arbitrary<Command> = version.map((added) => (network) => {
  network.addVersion(added);
});
const settle: fc.Arbitrary<Command> = fc.constant((network: Network) => network.settle());
const reject: fc.Arbitrary<Command> = fc.subarray(GATEWAYS).map((ids) => (network) => {
  network.reject(ids);
});
const takeUp: fc.Arbitrary<Command> = fc.tuple(gateway, fc.nat({ max: 20 })).map(
  ([id, number]) =>
    (network) =>
      network.takeUp(id, number),
);

function property(mutant: Mutant | null) {
  const commands = fc.array(
    fc.oneof(
      { weight: 4, arbitrary: begin },
      { weight: 2, arbitrary: kill },
      { weight: 6, arbitrary: takeUp },
      { weight: 1, arbitrary: remove },
      { weight: 2, arbitrary: settle },
      { weight: 1, arbitrary: reject },
      { weight: 1, arbitrary: add },
    ),
    { maxLength: 40 },
  );
  const atStart = fc.constantFrom<readonly string[]>(VERSIONS, VERSIONS.slice(0, 1));
  return fc.asyncProperty(atStart, commands, async (versions, run) => {
    const network = createNetwork(mutant, versions);
    for (const command of run) await command(network);
  });
}

/** Lets the version record forget a version whose targets were removed. */
async function forgetRemoved(network: Network): Promise<void> {
  await network.passAndRead(STEP_MS);
  network.advance(LONG_MS);
  await network.passAndRead(STEP_MS);
  await network.passAndRead(STEP_MS);
}

describe('a stream that is taken up', () => {
  // It went on at any version, as nobody knew where it had begun.
  it('goes on at its version if anybody knows it', async () => {
    await fc.assert(property(null), { seed: 1, numRuns: RUNS });
  });

  for (const mutant of Object.values(Mutant).filter((each) => !DIRECTED.includes(each))) {
    it(`is found to go wrong where a gateway ${mutant}`, async () => {
      const { failed } = await fc.check(property(mutant), { seed: 1, numRuns: RUNS });
      assert.equal(failed, true);
    });
  }

  // A gateway that the store rejects does not see that a version appears. When those that know the stream
  // are lost before its origin is stored, it would resume the stream at the only version it knows.
  it('is refused by a gateway that does not know its version, as others do', async () => {
    const resumeAt = async (mutant: Mutant | null): Promise<string | null> => {
      const network = createNetwork(mutant, ['v1']);
      network.reject(['g2']);
      network.addVersion('v2');
      await network.begin('g1', 'v2', Turns.One);
      network.kill(['g0', 'g1']);
      const exchange = request('t', 'a0', null);
      await network.resume('g2', exchange);
      return exchange.version;
    };
    assert.equal(await resumeAt(null), null);
    assert.equal(await resumeAt(Mutant.TrustsOwnView), 'v1');
  });

  // Assignments are stored only while several versions are recent.
  it('goes on although it began before a second version appeared', async () => {
    const resumeAt = async (mutant: Mutant | null): Promise<string | null> => {
      const network = createNetwork(mutant, ['v1']);
      await network.begin('g1', 'v1', Turns.One);
      network.addVersion('v2');
      await network.passAndRead(STORED_AFTER_MS);
      network.kill(GATEWAYS);
      const exchange = request('t', 'a0', null);
      await network.resume('g2', exchange);
      return exchange.version;
    };
    assert.equal(await resumeAt(null), 'v1');
    assert.equal(await resumeAt(Mutant.ForgetsEarlierGrants), null);
  });

  // One process had forwarded and scheduled the stream, and was killed.
  it('goes on after the loss of the gateway that did both', async () => {
    const network = createNetwork(null);
    await network.begin('g0', 'v2', Turns.One);
    await sleep(TOLD_AFTER_MS);
    network.kill(['g0']);
    const exchange = request('t', 'a0', null);
    assert.equal(await network.resume('g2', exchange), null);
    assert.equal(exchange.version, 'v2');
  });

  it('is refused at once if nobody knows its version and several serve', async () => {
    const network = createNetwork(null);
    const refusal = await network.resume('g1', request('t', 'unknown', null));
    assert.match(String(refusal?.reason), /not known/);
  });

  // Versions were noted with each change of the fleet only, and forgotten two minutes later.
  it('goes on at the only version although the fleet has not changed for long', async () => {
    const network = createNetwork(null);
    network.removeVersion('v2');
    await forgetRemoved(network);
    network.advance(LONG_MS);
    const exchange = request('t', 'unknown', null);
    assert.equal(await network.resume('g1', exchange), null);
    assert.equal(exchange.version, 'v1');
  });

  it('goes on at the only version that has served', async () => {
    const network = createNetwork(null);
    network.removeVersion('v2');
    await forgetRemoved(network);
    for (const id of GATEWAYS) network.kill([id]);
    const exchange = request('t', 'unknown', null);
    assert.equal(await network.resume('g1', exchange), null);
    assert.equal(exchange.version, 'v1');
  });
});
