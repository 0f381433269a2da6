/** Tests requests and reports to the scheduling gateway, which may be busy or unreachable. */
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
  revisionInEra,
} from '@cassiamast/coordination';
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import { MEMBER_UNREACHABLE } from '../../src/node/failures.js';
import { withResolvers } from '../../src/node/promises.js';
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

/** A call as it was sent. */
interface SentCall {
  readonly member: string;
  readonly method: string;
  readonly params: readonly unknown[];
}

function viewOf(ids: readonly string[], era: number): FleetView {
  const view = createFleetView();
  const changes = ids.map((id, index) => ({
    kind: FleetChangeKind.Gateway as const,
    revision: revisionInEra(era, index + 1),
    gateway: { id, failureDomain: 'eros-hall', coreShare: 0.5 },
  }));
  applyChanges(view, changes, revisionInEra(era, ids.length), 0);
  return view;
}

/**
 * Creates a client of gateways. `answersAfterMs` is the time by which each exceeds the wait of a
 * call; the VMs of `unreachable` accept no connection, and `announcedSince` have restarted since
 * their announcement.
 */
function clientOf(
  answersAfterMs: Readonly<Record<string, number>>,
  unreachable: readonly string[] = [],
  announcedSince: readonly string[] = [],
  era = 0,
): {
  readonly client: SchedulingClient;
  readonly calls: SentCall[];
  /** Withholds the answers to later calls until the returned function is called. */
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
    view: viewOf([OLDEST, NEXT, SELF], era),
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
  // After a restart, the scheduling gateway answers 250 ms late because its code is not compiled
  // yet. If the others skipped it, each would use the next gateway, and in the end all would
  // schedule the same engines independently; for seconds, callers would be answered late or
  // refused.
  it('keeps using a scheduler that is busy', async () => {
    const { client } = clientOf({ [OLDEST]: 250 });
    const answer = await client.take('s', () => JOB, new AbortController().signal);
    assert.equal(answer?.schedulerId, OLDEST);
    assert.equal(client.schedulerOf('s'), OLDEST);
  });

  // After a power loss of all gateways, the scheduling gateway is busy for a second with the
  // accumulated requests. When each gateway skipped it after 450 ms, two gateways scheduled the
  // same engines until the load ended.
  it('keeps using a scheduler that is busy longer while its VM accepts connections', async () => {
    const { client } = clientOf({ [OLDEST]: 900 });
    const answer = await client.take('s', () => JOB, new AbortController().signal);
    assert.equal(answer?.schedulerId, OLDEST);
  });

  // After the same power loss, the store still contains announcements from before the restart.
  // Gateways that see different ones choose different schedulers, and several schedule the same
  // engines.
  describe('an announcement that is no longer valid', () => {
    it('makes the client use the next gateway', async () => {
      const { client } = clientOf({}, [], [OLDEST]);
      const answer = await client.take('s', () => JOB, new AbortController().signal);
      assert.equal(answer?.schedulerId, NEXT);
    });

    it('is rejected by the gateway that it announced', () => {
      const { client } = clientOf({});
      assert.equal(client.confirmAnnouncement(SELF_REVISION - 1), false);
      assert.equal(client.confirmAnnouncement(SELF_REVISION), true);
      assert.equal(client.confirmAnnouncement(SELF_REVISION + 1), true);
    });

    // Gateways notice at different moments that the store came back from an older copy; those that
    // did not yet would choose another scheduler.
    it('is not taken for one that was made before the store came back', () => {
      const { client } = clientOf({}, [], [], 1);
      assert.equal(client.confirmAnnouncement(SELF_REVISION), true);
      assert.equal(client.confirmAnnouncement(SELF_REVISION - 1), false);
      assert.equal(client.confirmAnnouncement(SELF_REVISION + 1), false);
    });
  });

  it('skips a scheduler that is unreachable and uses the next one', async () => {
    const { client } = clientOf({ [OLDEST]: Infinity }, [OLDEST]);
    const answer = await client.take('s', () => JOB, new AbortController().signal);
    assert.equal(answer?.schedulerId, NEXT);
  });

  describe('reports', () => {
    const eventsOf = ({ method, params }: SentCall): readonly JobEvent[] =>
      (method === RpcMethod.ScheduleTake ? params[3] : params[1]) as readonly JobEvent[];

    it('are batched for a short time', () => {
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

    it('are sent with the next request for an engine', async () => {
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

    // Otherwise the reports of a gateway that exits right after its last answer would be lost.
    it('are sent when the client settles, which waits for their delivery', async () => {
      const { client, calls, hold } = clientOf({});
      const arrived = hold();
      client.report('s', OLDEST, JobEventKind.Served, 'j-1', 'i-1');
      client.report('t', NEXT, JobEventKind.Ended, 'j-2', 'i-2');
      let settled = false;
      const settling = client.flushReports().then(() => {
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

    // If the report of a crashed engine waited for a batch, more work would be assigned to that
    // engine.
    it('are sent immediately when a target has failed', () => {
      const { client, calls } = clientOf({});
      client.report('s', OLDEST, JobEventKind.Failed, 'j-1', 'i-1');
      assert.equal(calls.length, 1);
    });
  });
});
