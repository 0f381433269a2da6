/** A gateway that follows the fleet, on a virtual clock, while its connections to the store go silent. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  EnginePhase,
  type Failure,
  type FleetChange,
  FleetChangeKind,
  createFleetView,
  pollIntervalOptions,
  servingTargets,
} from '@cassiamast/coordination';
import { type FleetChangeBatch, type FleetPort, KEY_VALUE_REFUSED } from '@cassiamast/ports';
import { type Result, ResultAsync, err, ok } from 'neverthrow';
import { createFleetFollower } from '../../src/gateway/fleet-follower.js';
import { startVirtualClock } from './virtual-clock.js';

const SERVICE = 'ramp-portal';
const STEP_MS = 10;
/** Time for a call to reach the store, and for its answer. */
const HOP_MS = 10;
/** Polls are frequent before this time. */
const SETTLED_AT_MS = 7000;
/** How long before its connections went silent the entry of a target was removed. */
const LEFT_BEFORE_MS = 120;
/** The offsets of a silence in the cycle of pause and call, which all deployments repeat within this time. */
const CYCLE_MS = 2800;
const OFFSET_STEP_MS = 200;

/** Expired entries of live targets are written again within this time after an outage. */
const REWRITE_MS = 1000;
/** Writes of targets in a minute, and the pause between two calls on the usual deployment. */
const WRITES = 600;
const WRITE_INTERVAL_MS = 100;
const PAUSE_MS = 600;

interface Bounds {
  readonly applyWithinMs: number;
  readonly contactMs: number;
}

const DEPLOYMENTS: readonly Bounds[] = [
  { applyWithinMs: 2000, contactMs: 2500 },
  { applyWithinMs: 2000, contactMs: 3000 },
  { applyWithinMs: 3000, contactMs: 4000 },
  { applyWithinMs: 4000, contactMs: 5000 },
];
const USUAL: Bounds = { applyWithinMs: 2000, contactMs: 3000 };

/** How the store treats calls during an outage. */
enum Outage {
  Refused = 'refuses calls',
  Unanswered = 'answers no call',
}

/** A connection to the store; calls on one that is silent are lost. */
interface Connection {
  isSilent: boolean;
}

/** A gateway that follows the simulated store. */
interface FollowingGateway {
  readonly store: SimulatedStore;
  /** Names of the targets that may receive work now. */
  readonly serving: () => readonly string[];
  readonly advanceTo: (atMs: number) => Promise<void>;
}

interface SimulatedStore {
  readonly port: FleetPort;
  readonly write: (change: FleetChange) => void;
  readonly silenceConnections: () => void;
  readonly setOutage: (outage: Outage | null) => void;
  readonly calls: () => number;
}

function target(name: string, revision: number): FleetChange {
  const entry = {
    id: name,
    name,
    bornAtMs: 0,
    version: 'v1',
    service: SERVICE,
    address: '10.0.0.1:80',
    failureDomain: 'eros-hall',
    slots: 8,
    draining: false,
    phase: EnginePhase.Both,
  };
  return { kind: FleetChangeKind.Target, revision, target: entry };
}

function removed(name: string, revision: number): FleetChange {
  return { kind: FleetChangeKind.TargetRemoved, revision, name };
}

const after = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(resolve, delayMs);
    signal?.addEventListener('abort', () => {
      clearTimeout(timer);
      reject(new Error('aborted'));
    });
  });
}

/** A store with a list of changes, and calls for changes that wait for them. */
function createSimulatedStore(initial: readonly FleetChange[]): SimulatedStore {
  const changes = [...initial];
  let connection: Connection = { isSilent: false };
  let outage: Outage | null = null;
  let waiting: (() => void)[] = [];
  let calls = 0;
  const latest = (): number => changes.at(-1)?.revision ?? 0;

  function call(
    read: () => FleetChangeBatch | null,
    waitMs: number,
  ): ResultAsync<FleetChangeBatch, Failure> {
    calls += 1;
    const used = connection;
    return new ResultAsync(
      new Promise<Result<FleetChangeBatch, Failure>>((resolve) => {
        const send = (result: Result<FleetChangeBatch, Failure>): void => {
          void after(HOP_MS).then(() => {
            if (!used.isSilent) resolve(result);
          });
        };
        void after(HOP_MS).then(() => {
          if (used.isSilent || outage === Outage.Unanswered) return;
          if (outage === Outage.Refused) {
            send(err(KEY_VALUE_REFUSED.of(REFUSAL)));
            return;
          }
          const batch = read();
          if (batch !== null) {
            send(ok(batch));
            return;
          }
          let isAnswered = false;
          const answer = (): void => {
            if (isAnswered || outage !== null) return;
            isAnswered = true;
            send(ok(read() ?? { changes: [], faults: [], revision: latest() }));
          };
          waiting.push(answer);
          void after(waitMs).then(answer);
        });
      }),
    );
  }

  const port = {
    list: () => call(() => ({ changes: initial, faults: [], revision: latest() }), 0),
    changesAfter: (revision: number, waitMs: number) =>
      call(() => {
        const news = changes.filter((change) => change.revision > revision);
        return news.length === 0 ? null : { changes: news, faults: [], revision: latest() };
      }, waitMs),
    renewConnections: () => {
      connection = { isSilent: false };
    },
  } as unknown as FleetPort;

  return {
    port,
    write: (change) => {
      changes.push(change);
      const answers = waiting;
      waiting = [];
      for (const answer of answers) answer();
    },
    silenceConnections: () => {
      connection.isSilent = true;
    },
    setOutage: (next) => {
      outage = next;
    },
    calls: () => calls,
  };
}

const REFUSAL = { call: 'changes', endpoint: 'store', mayHaveRun: false, detail: '', status: 503 };

/** Plays one scenario on a clock of its own. */
async function play(
  { applyWithinMs, contactMs }: Bounds,
  scenario: (gateway: FollowingGateway) => Promise<void>,
): Promise<void> {
  const clock = startVirtualClock();
  const store = createSimulatedStore([target('leaving', 1), target('staying', 2)]);
  const view = createFleetView();
  const { child } = createFleetFollower({
    fleet: store.port,
    view,
    pace: pollIntervalOptions(applyWithinMs, contactMs),
    // The longest pauses after failures.
    random: () => 1,
    nowMs: clock.nowMs,
    sleep,
    log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
    count: () => undefined,
    beforeFirstListing: () => Promise.resolve(),
    beginRead: () => () => undefined,
    onGateway: () => undefined,
    onRestored: () => undefined,
    onChanged: () => undefined,
  });
  await child.start(() => undefined);
  try {
    await scenario({
      store,
      serving: () => servingTargets(view, SERVICE, clock.nowMs()).map(({ name }) => name),
      advanceTo: (atMs) => clock.advanceTo(atMs, STEP_MS),
    });
  } finally {
    await child.stop();
    clock.stop();
  }
}

/** Plays a scenario at moments that cover the cycle of pause and call. */
async function playThroughCycle(
  bounds: Bounds,
  scenario: (gateway: FollowingGateway, beginsAtMs: number) => Promise<void>,
): Promise<void> {
  for (let offsetMs = 0; offsetMs < CYCLE_MS; offsetMs += OFFSET_STEP_MS) {
    await play(bounds, (gateway) => scenario(gateway, SETTLED_AT_MS + offsetMs));
  }
}

/** Removes a target, then silences the connections; once more after `againMs`, unless it is 0. */
async function silenceConnections(
  { store, serving, advanceTo }: FollowingGateway,
  { contactMs }: Bounds,
  beginsAtMs: number,
  againMs: number,
): Promise<void> {
  await advanceTo(beginsAtMs - LEFT_BEFORE_MS);
  store.write(removed('leaving', 3));
  await advanceTo(beginsAtMs);
  store.silenceConnections();
  await advanceTo(beginsAtMs + againMs);
  if (againMs > 0) store.silenceConnections();
  await advanceTo(beginsAtMs + againMs + contactMs);
  assert.deepEqual(serving(), ['staying'], `silent at ${String(beginsAtMs)} ms`);
}

/** Lets an entry expire in an outage; its target writes it again one second after the end. */
async function expireInOutage(
  { store, serving, advanceTo }: FollowingGateway,
  outage: Outage,
  beginsAtMs: number,
  outageMs: number,
): Promise<void> {
  const endsAtMs = beginsAtMs + outageMs;
  await advanceTo(beginsAtMs);
  store.setOutage(outage);
  await advanceTo(endsAtMs);
  store.setOutage(null);
  store.write(removed('staying', 3));
  for (let sinceMs = STEP_MS; sinceMs <= REWRITE_MS; sinceMs += STEP_MS) {
    await advanceTo(endsAtMs + sinceMs);
    assert.ok(serving().includes('staying'), `${String(sinceMs)} ms after the outage`);
  }
  store.write(target('staying', 4));
  await advanceTo(endsAtMs + 4 * REWRITE_MS);
  assert.deepEqual(serving(), ['leaving', 'staying']);
}

describe('a gateway that follows the fleet', () => {
  describe('whose connections to the store went silent', () => {
    for (const bounds of DEPLOYMENTS) {
      const { applyWithinMs, contactMs } = bounds;
      const named = `${String(applyWithinMs)} ms and ${String(contactMs)} ms`;

      // A target that left is used after a late answer, as in the grace period of an outage.
      it(`does not use a target that left when it is in touch again: ${named}`, async () => {
        await playThroughCycle(bounds, (gateway, beginsAtMs) =>
          silenceConnections(gateway, bounds, beginsAtMs, 0),
        );
      });

      // The connections that replaced the first silent ones go silent as well.
      it(`does not after a second silence: ${named}`, async () => {
        for (let againMs = 700; againMs < contactMs; againMs += 700) {
          await playThroughCycle(bounds, (gateway, beginsAtMs) =>
            silenceConnections(gateway, bounds, beginsAtMs, againMs),
          );
        }
      });
    }
  });

  // Entries of live targets expire in an outage. A gateway that removes them at its end has no target
  // until they are written again.
  describe('whose store had an outage', () => {
    for (const outage of Object.values(Outage)) {
      for (const outageMs of [4000, 7000]) {
        it(`keeps targets that are written again: it ${outage} for ${String(outageMs)} ms`, async () => {
          await playThroughCycle(USUAL, (gateway, beginsAtMs) =>
            expireInOutage(gateway, outage, beginsAtMs, outageMs),
          );
        });
      }
    }
  });

  // Each gateway's calls add up over the fleet, and targets write in each heartbeat interval.
  it('calls a store with writes no more often than its pause allows', async () => {
    await play(USUAL, async ({ store, advanceTo }) => {
      await advanceTo(SETTLED_AT_MS);
      const before = store.calls();
      for (let writes = 0; writes < WRITES; writes += 1) {
        store.write(target('staying', 3 + writes));
        await advanceTo(SETTLED_AT_MS + (writes + 1) * WRITE_INTERVAL_MS);
      }
      const calls = store.calls() - before;
      assert.ok(calls <= (WRITES * WRITE_INTERVAL_MS) / PAUSE_MS, `${String(calls)} calls`);
    });
  });
});
