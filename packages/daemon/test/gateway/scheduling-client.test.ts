/** Questions to the gateway that schedules, which may be busy or dead, and reports to it. */
import assert from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import {
  DecisionKind,
  FleetChangeKind,
  type FleetView,
  type JobEvent,
  JobEventKind,
  applyChanges,
  createFleetView,
} from '@cassiamast/coordination';
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import { MEMBER_UNREACHABLE } from '../../src/node/failures.js';
import { withResolvers } from '../../src/node/http-body.js';
import type { RpcClient } from '../../src/node/rpc-client.js';
import { RpcMethod } from '../../src/protocol/methods.js';
import {
  ANNOUNCED_SINCE,
  type SchedulingClient,
  createSchedulingClient,
} from '../../src/gateway/scheduling-client.js';
import type { JobRequest, SchedulingService } from '../../src/gateway/scheduling-service.js';

const SELF = '10.0.0.9:7380';
const OLDEST = '10.0.0.1:7380';
const NEXT = '10.0.0.2:7380';
/** SELF is announced third. */
const SELF_REVISION = 3;

const JOB: JobRequest = {
  id: 'j-1',
  route: 'r',
  priority: 0,
  parts: [],
  outputTokens: 1,
  failureDomain: 'eros-hall',
  gateway: '10.0.0.9:7380',
  aimInMs: 500,
  deadlineInMs: 2000,
  avoid: [],
};

const REFUSED = { kind: DecisionKind.Refuse, jobId: JOB.id };

/** A call as it went out. */
interface SentCall {
  readonly member: string;
  readonly method: string;
  readonly params: readonly unknown[];
}

function viewOf(ids: readonly string[]): FleetView {
  const view = createFleetView();
  const changes = ids.map((id, index) => ({
    kind: FleetChangeKind.Gateway as const,
    revision: index + 1,
    gateway: { id, failureDomain: 'eros-hall', coreShare: 0.5 },
  }));
  applyChanges(view, changes, ids.length, 0);
  return view;
}

/**
 * A client of gateways that each take so long to answer beyond the question's wait; `unreachable`
 * are those whose VMs let no connection in, `announcedSince` those that have started again since.
 */
function clientOf(
  answersAfterMs: Readonly<Record<string, number>>,
  unreachable: readonly string[] = [],
  announcedSince: readonly string[] = [],
): {
  readonly client: SchedulingClient;
  readonly calls: SentCall[];
  /** Lets later calls wait for their answer until the returned function is called. */
  readonly hold: () => () => void;
} {
  const calls: SentCall[] = [];
  let held: Promise<undefined> | null = null;
  const rpc = {
    call: (
      member: string,
      method: string,
      params: readonly unknown[],
      options: { timeoutMs: number },
    ) => {
      calls.push({ member, method, params });
      if (held !== null) return ResultAsync.fromSafePromise(held);
      const [, , waitMs] = params as [string, JobRequest, number];
      const tookMs = Number(waitMs) + (answersAfterMs[member] ?? 0);
      const isLate = tookMs > options.timeoutMs;
      const cause = { member, method, cause: 'late', mayHaveRun: true };
      if (announcedSince.includes(member)) return okAsync(ANNOUNCED_SINCE);
      return isLate ? errAsync(MEMBER_UNREACHABLE.of(cause)) : okAsync(REFUSED);
    },
  } as unknown as RpcClient;
  const client = createSchedulingClient({
    selfId: SELF,
    view: viewOf([OLDEST, NEXT, SELF]),
    rpc,
    local: {} as SchedulingService,
    nowMs: () => 0,
    log: { info: () => undefined, warn: () => undefined, lifecycle: () => undefined },
    count: () => undefined,
    isReachable: (gateway) => Promise.resolve(!unreachable.includes(gateway)),
    isConfirmed: () => true,
  });
  const hold = (): (() => void) => {
    const { promise, resolve } = withResolvers<undefined>();
    held = promise;
    return () => {
      resolve(undefined);
    };
  };
  return { client, calls, hold };
}

describe('the client of a scheduler', () => {
  // For seconds after a restart callers are late or sent away. The gateway that schedules answers
  // 250 ms late while its code is cold; the others pass it over one after the other, each asks the
  // next, and at last all decide for the same engines without knowing of each other.
  it('goes on asking one that is busy', async () => {
    const { client } = clientOf({ [OLDEST]: 250 });
    const answer = await client.take('s', () => JOB, new AbortController().signal);
    assert.equal(answer?.schedulerId, OLDEST);
    assert.equal(client.schedulerOf('s'), OLDEST);
  });

  // All gateways lost power and are back. The one that schedules is busy for a second with those who
  // waited; it was passed over after 450 ms, by one gateway after the other, and two decided for the
  // same engines for as long as the load lasted.
  it('goes on asking one that is busy for longer, while its VM lets connections in', async () => {
    const { client } = clientOf({ [OLDEST]: 900 });
    const answer = await client.take('s', () => JOB, new AbortController().signal);
    assert.equal(answer?.schedulerId, OLDEST);
  });

  // The same return. The store still has the announcements of the gateways' lives before: each
  // gateway takes another one for the oldest, and several decide for the same engines.
  describe('an announcement that no longer stands', () => {
    it('is not asked again, and the next one is', async () => {
      const { client } = clientOf({}, [], [OLDEST]);
      const answer = await client.take('s', () => JOB, new AbortController().signal);
      assert.equal(answer?.schedulerId, NEXT);
    });

    it('is told to whoever asks because of it', () => {
      const { client } = clientOf({});
      assert.equal(client.noteAsked(SELF_REVISION - 1), false);
      assert.equal(client.noteAsked(SELF_REVISION), true);
      assert.equal(client.noteAsked(SELF_REVISION + 1), true);
    });
  });

  it('passes over one that does not answer, and asks the next one', async () => {
    const { client } = clientOf({ [OLDEST]: Infinity }, [OLDEST]);
    const answer = await client.take('s', () => JOB, new AbortController().signal);
    assert.equal(answer?.schedulerId, NEXT);
  });

  describe('reports', () => {
    const eventsOf = ({ method, params }: SentCall): readonly JobEvent[] =>
      (method === RpcMethod.ScheduleTake ? params[3] : params[1]) as readonly JobEvent[];

    it('gathers them for a moment', () => {
      mock.timers.enable({ apis: ['setTimeout'] });
      const { client, calls } = clientOf({});
      client.report('s', OLDEST, JobEventKind.Read, 'j-1', 'i-1');
      client.report('s', OLDEST, JobEventKind.Served, 'j-2', 'i-1');
      assert.equal(calls.length, 0);
      mock.timers.tick(100);
      mock.timers.reset();
      const kinds = calls.map(eventsOf).map((events) => events.map(({ kind }) => kind));
      assert.deepEqual(kinds, [[JobEventKind.Read, JobEventKind.Served]]);
    });

    it('sends them along with the next question', async () => {
      const { client, calls } = clientOf({});
      client.report('s', OLDEST, JobEventKind.Read, 'j-0', 'i-1');
      await client.take('s', () => JOB, new AbortController().signal);
      assert.deepEqual(
        calls.map(({ method }) => method),
        [RpcMethod.ScheduleTake],
      );
      assert.deepEqual(
        calls.flatMap(eventsOf).map(({ jobId }) => jobId),
        ['j-0'],
      );
    });

    // Guards against reports that are lost with a gateway that ends right after its last answer.
    it('sends what waits when it settles, and waits until that has arrived', async () => {
      const { client, calls, hold } = clientOf({});
      const arrived = hold();
      client.report('s', OLDEST, JobEventKind.Served, 'j-1', 'i-1');
      client.report('t', NEXT, JobEventKind.Ended, 'j-2', 'i-2');
      let settled = false;
      const settling = client.settle().then(() => {
        settled = true;
      });
      assert.deepEqual(
        calls.map(({ member }) => member),
        [OLDEST, NEXT],
      );
      await new Promise((resolve) => setImmediate(resolve));
      assert.equal(settled, false);
      arrived();
      await settling;
    });

    // An engine crashed, and for a moment more is sent there: its failure waited for other reports.
    it('sends the failure of a target at once', () => {
      const { client, calls } = clientOf({});
      client.report('s', OLDEST, JobEventKind.Failed, 'j-1', 'i-1');
      assert.equal(calls.length, 1);
    });
  });
});
