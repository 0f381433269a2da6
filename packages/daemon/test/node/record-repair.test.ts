/**
 * Prevents the repair of record copies from overloading a fleet with little CPU time. Members then
 * suspect each other and revert it about a hundred times a minute. Every change of any member made
 * all members send all their records again, and again after one second without an answer. Requests
 * were not recorded in time and none was answered, although the load was small.
 *
 * In a run of `demo --faults` with every daemon stopped for nine tenths of the time, 44,949 copies
 * of 140 records were sent (`records_repaired_total`).
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import {
  DEFAULT_HOLDER_OPTIONS,
  type HolderCall,
  HolderCallKind,
  RecordPhase,
  type RequestRecord,
  createHolder,
  handleHolderCall,
} from '@cassiamast/coordination';
import { ResultAsync, okAsync } from 'neverthrow';
import { createHolderDriver } from '../../src/node/holder-driver.js';
import type { RpcClient } from '../../src/node/rpc-client.js';
import { createTelemetry } from '../../src/node/telemetry.js';

const RECORDS = 100;
const TICK_MS = 100;
const MS_PER_S = 1_000;

function makeRecord(keyText: string): RequestRecord {
  return {
    keyText,
    service: 'service',
    bodyHash: 'body',
    repeatable: true,
    creationId: `entry#${keyText}`,
    phase: RecordPhase.Accepted,
    attempts: [],
    crashedAttemptIds: [],
    answer: null,
    failure: null,
    remainingMs: 600_000,
  };
}

/** Member `a`, which holds every record together with `b`; `c` holds none. */
class Member {
  calls = 0;
  open = 0;
  mostOpen = 0;
  peerIsSilent = false;
  readonly incarnations = new Map([
    ['a', 1],
    ['b', 1],
    ['c', 1],
  ]);
  private peer = createHolder(0);
  private nowMs = 0;
  readonly driver = createHolderDriver(this.options());

  constructor() {
    for (let at = 0; at < RECORDS; at += 1) {
      const call: HolderCall = { kind: HolderCallKind.Create, record: makeRecord(String(at)) };
      void this.driver.callHolder('a', call);
    }
  }

  async run(forMs: number): Promise<void> {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs;) {
      this.nowMs += TICK_MS;
      mock.timers.tick(TICK_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Gives a member a new incarnation: it refuted a suspicion, or restarted without its memory. */
  renew(id: string): void {
    this.incarnations.set(id, (this.incarnations.get(id) ?? 0) + 1);
    this.driver.placementChanged();
  }

  peerLosesMemory(): void {
    this.peer = createHolder(this.nowMs);
    this.renew('b');
  }

  peerRecords(): number {
    return this.peer.records.size;
  }

  private options() {
    return {
      selfId: 'a',
      nowMs: () => this.nowMs,
      rpc: this.rpc(),
      telemetry: createTelemetry(() => undefined, null),
      holdersOf: () => ['a', 'b'],
      placed: () => [...this.incarnations].map(([id, incarnation]) => ({ id, incarnation })),
      answerRetentionMs: () => 600_000,
    };
  }

  private rpc(): RpcClient {
    const call: RpcClient['call'] = <Answer>(_member: string, _method: string, params: unknown) => {
      this.calls += 1;
      this.open += 1;
      this.mostOpen = Math.max(this.mostOpen, this.open);
      if (this.peerIsSilent) return ResultAsync.fromSafePromise(new Promise<Answer>(() => null));
      this.open -= 1;
      const holderCall = params as HolderCall;
      const reply = handleHolderCall(this.peer, holderCall, DEFAULT_HOLDER_OPTIONS, this.nowMs);
      return okAsync(reply as Answer);
    };
    const stream = (): never => {
      throw new RangeError('record copies are not sent as streams');
    };
    return { call, stream, close: () => Promise.resolve() };
  }
}

describe('copies of records', () => {
  let member: Member;

  beforeEach(async () => {
    mock.timers.enable({ apis: ['setTimeout'] });
    member = new Member();
    await member.driver.child.start(() => undefined);
    member.driver.placementChanged();
    await member.run(MS_PER_S);
  });

  afterEach(async () => {
    await member.driver.child.stop();
    mock.timers.reset();
  });

  it('are restored once after the first change of members', () => {
    assert.equal(member.peerRecords(), RECORDS);
    assert.equal(member.calls, RECORDS);
  });

  describe('updates of members that hold none of the records', () => {
    it('sends nothing', async () => {
      const before = member.calls;
      for (let update = 0; update < 50; update += 1) {
        member.renew('c');
        await member.run(MS_PER_S);
      }
      assert.equal(member.calls - before, 0);
    });
  });

  describe('a placement change with unchanged members', () => {
    it('sends nothing', async () => {
      const before = member.calls;
      for (let update = 0; update < 50; update += 1) {
        member.driver.placementChanged();
        await member.run(MS_PER_S);
      }
      assert.equal(member.calls - before, 0);
    });
  });

  describe('a restart of the other holder without its memory', () => {
    it('restores every record after each restart', async () => {
      for (let restart = 0; restart < 3; restart += 1) {
        member.peerLosesMemory();
        await member.run(2 * MS_PER_S);
        assert.equal(member.peerRecords(), RECORDS);
      }
    });
  });

  describe('a holder that receives copies but does not answer', () => {
    it('receives a bounded number of copies', async () => {
      member.peerIsSilent = true;
      member.peerLosesMemory();
      await member.run(30 * MS_PER_S);
      // At most 64 at a time, each retried after 1, 2, 4, 8 and 16 s without an answer.
      assert.ok(member.calls - RECORDS <= 64 * 5, `${String(member.calls - RECORDS)} copies`);
    });
  });
});
