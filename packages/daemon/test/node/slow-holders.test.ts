/**
 * Prevents retries from overloading slow record holders. While each process of a fleet had a tenth
 * of a core for a minute, requests waited for "the members that record this request", were rejected
 * as unknown after 6 s, retried and rejected again, even long after the processes had recovered. Each
 * call was repeated every 500 ms while the first one was still in the holder's queue, and answers
 * that took over 2 s were discarded, so the repeated calls were the load.
 *
 * In a run of `demo --faults` with every daemon stopped for nine tenths of the time, 37,149 of
 * 57,770 calls to holders failed, for 140 requests. Each rejection named a live holder
 * (`phase=creating roundsAsked=12 missing=... missingDead=0`).
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  DEFAULT_REQUEST_MACHINE_OPTIONS,
  type RequestContext,
  type RequestEvent,
  RequestEffectKind,
  RequestEventKind,
  type HolderCall,
  Suspicion,
  createRequestMachine,
  createHashing,
  createHolder,
  createRetryBudget,
  handleRequestEvent,
  handleHolderCall,
  DEFAULT_HOLDER_OPTIONS,
  seededRandom,
} from '@cassiamast/coordination';
import { ResultAsync } from 'neverthrow';
import { MEMBER_UNREACHABLE } from '../../src/node/failures.js';
import { createHolderDriver } from '../../src/node/holder-driver.js';
import type { RpcClient } from '../../src/node/rpc-client.js';
import { createTelemetry } from '../../src/node/telemetry.js';

const HOLDERS = ['holder-1', 'holder-2'];
/** Time that a holder spends on a call. It can serve 25 calls a second; the load below needs 10. */
const CALL_COST_MS = 40;
const REQUESTS_PER_S = 10;
const LOAD_MS = 20_000;
const PAUSE_AT_MS = 5_000;
/** Shorter than the 6 s that an entry waits, so no request has to be rejected during the pause. */
const PAUSE_MS = 4_000;
const MS_PER_S = 1_000;
/** Callers give up one minute after the last of them has arrived. */
const END_MS = LOAD_MS + 60_000;

/** Virtual time: callbacks run in the order of their due times, and promises settle in between. */
class Clock {
  nowMs = 0;
  private readonly due: { readonly atMs: number; readonly run: () => void }[] = [];

  at(atMs: number, run: () => void): void {
    const insertIndex = this.due.findIndex((other) => other.atMs > atMs);
    this.due.splice(insertIndex === -1 ? this.due.length : insertIndex, 0, { atMs, run });
  }

  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      const next = this.due[0];
      if (next === undefined || next.atMs > endMs) return;
      this.due.shift();
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

/** A member that answers calls one after the other and is paused for a while. */
class SlowHolder {
  readonly state = createHolder(0);
  calls = 0;
  private freeAtMs = 0;

  constructor(private readonly clock: Clock) {}

  receiveCall(
    call: HolderCall,
    answer: (reply: ReturnType<typeof handleHolderCall>) => void,
  ): void {
    this.calls += 1;
    const { nowMs } = this.clock;
    const startMs = this.afterPause(Math.max(nowMs, this.freeAtMs));
    this.freeAtMs = this.afterPause(startMs + CALL_COST_MS);
    this.clock.at(this.freeAtMs, () => {
      answer(handleHolderCall(this.state, call, DEFAULT_HOLDER_OPTIONS, this.clock.nowMs));
    });
  }

  private afterPause(atMs: number): number {
    const isPaused = atMs >= PAUSE_AT_MS && atMs < PAUSE_AT_MS + PAUSE_MS;
    return isPaused ? PAUSE_AT_MS + PAUSE_MS : atMs;
  }
}

/** An entry that calls slow holders, with the real request state machine and holder driver. */
class Entry {
  readonly clock = new Clock();
  readonly holders = new Map(HOLDERS.map((id) => [id, new SlowHolder(this.clock)]));
  readonly accepted = new Map<string, number>();
  rejections = 0;
  private lastRequest = 0;
  private readonly random = seededRandom(4);
  private readonly budget = createRetryBudget(DEFAULT_REQUEST_MACHINE_OPTIONS.retry);
  private readonly driver = createHolderDriver(this.driverOptions());

  constructor(private readonly hash32: (text: string) => number) {}

  arrive(key: string): void {
    this.lastRequest += 1;
    const request = {
      keyText: key,
      workspace: 'workspace',
      service: 'service',
      bodyHash: key,
      repeatable: true,
      payload: null,
      deadlineMs: 60_000,
      resume: null,
    };
    const machine = createRequestMachine(
      `entry#${String(this.lastRequest)}`,
      request,
      this.clock.nowMs,
    );
    const feed = (event: RequestEvent): void => {
      // Requests are not run here, so an accepted request needs no more events.
      if (this.accepted.has(key)) return;
      for (const effect of handleRequestEvent(machine, event, this.context())) {
        if (effect.kind === RequestEffectKind.CallHolder) {
          const { to, roundId, call } = effect;
          void this.driver.callHolder(to, call).map((reply) => {
            feed({ kind: RequestEventKind.HolderReplied, roundId, from: to, reply });
          });
        } else if (effect.kind === RequestEffectKind.SetTimer) {
          const { timer, timerId, afterMs } = effect;
          this.clock.at(this.clock.nowMs + afterMs, () => {
            feed({ kind: RequestEventKind.TimerFired, timer, timerId });
          });
        } else if (effect.kind === RequestEffectKind.AskAdmission) {
          this.accepted.set(key, this.clock.nowMs);
        } else if (effect.kind === RequestEffectKind.TellRefusal) {
          this.rejections += 1;
          // The caller retries with its key after the time given in the rejection.
          this.clock.at(this.clock.nowMs + (effect.retryAfterMs ?? 0), () => {
            this.arrive(key);
          });
        }
      }
    };
    feed({ kind: RequestEventKind.CallerArrived });
  }

  private context(): RequestContext {
    return {
      nowMs: this.clock.nowMs,
      random: this.random,
      hash32: this.hash32,
      entryId: 'entry',
      options: DEFAULT_REQUEST_MACHINE_OPTIONS,
      budget: this.budget,
      holders: () => HOLDERS,
      isLive: () => true,
      suspicion: () => Suspicion.None,
      provesAbsence: () => false,
    };
  }

  private driverOptions() {
    return {
      selfId: 'entry',
      nowMs: () => this.clock.nowMs,
      rpc: this.rpc(),
      telemetry: createTelemetry(() => undefined, null),
      holdersOf: () => HOLDERS,
      placed: () => HOLDERS.map((id) => ({ id, incarnation: 1 })),
      answerRetentionMs: () => 600_000,
    };
  }

  private rpc(): RpcClient {
    const call: RpcClient['call'] = <Answer>(
      member: string,
      method: string,
      params: unknown,
      { timeoutMs }: { readonly timeoutMs: number },
    ) => {
      const answered = new Promise<Answer>((resolve, reject) => {
        this.holders.get(member)?.receiveCall(params as HolderCall, (reply) => {
          resolve(reply as Answer);
        });
        this.clock.at(this.clock.nowMs + timeoutMs, () => {
          reject(new Error('no answer in time'));
        });
      });
      return ResultAsync.fromPromise(answered, (cause) =>
        MEMBER_UNREACHABLE.of({ member, method, cause: String(cause), mayHaveRun: true }),
      );
    };
    const stream = (): never => {
      throw new RangeError('streams are not opened before a request is accepted');
    };
    return { call, stream, close: () => Promise.resolve() };
  }
}

async function runScenario(): Promise<Entry> {
  const { hash32 } = await createHashing();
  const entry = new Entry(hash32);
  const requests = (LOAD_MS / MS_PER_S) * REQUESTS_PER_S;
  for (let at = 0; at < requests; at += 1) {
    entry.clock.at((at * MS_PER_S) / REQUESTS_PER_S, () => {
      entry.arrive(`key-${String(at)}`);
    });
  }
  await entry.clock.runUntil(END_MS);
  return entry;
}

describe('slow holders', () => {
  describe('holders that are paused for 4 s under a load of two fifths of their capacity', () => {
    it('cause no rejection: waiting requests are recorded once the holders resume', async () => {
      const entry = await runScenario();
      assert.equal(entry.accepted.size, 200);
      assert.equal(entry.rejections, 0);
    });

    it('are called at most three times for one request', async () => {
      const entry = await runScenario();
      for (const [id, holder] of entry.holders) {
        assert.ok(holder.calls <= 3 * 200, `${id} was called ${String(holder.calls)} times`);
        assert.equal(holder.state.records.size, 200);
      }
    });
  });
});
