/** Tests what becomes of a request whose targets fall silent and go on, over the real drivers. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { describe, it } from 'node:test';
import {
  DecisionKind,
  DeliveryKind,
  EnginePhase,
  FleetChangeKind,
  JobEventKind,
  applyChanges,
  createFleetView,
  createTurnVersions,
} from '@cassiamast/coordination';
import {
  ExchangeFailureKind,
  type HttpRequest,
  type HttpStreamHandlers,
  NOTHING_ANNOUNCED,
} from '@cassiamast/ports';
import type { Exchange } from '../../src/gateway/exchange.js';
import type { ForwardingServices } from '../../src/gateway/forwarding-services.js';
import { forwardPlain } from '../../src/gateway/plain-forwarding.js';
import { NO_RETRIES } from '../../src/gateway/retry-budgets.js';
import { forwardStream } from '../../src/gateway/stream-forwarding.js';
import { ANY_VERSION, NONE_DOWN, NO_CRASHES, NO_USAGE } from './forwarding-stand-ins.js';

const SERVICE = 's';
const REJECTED = 503;
const DEADLINE_MS = 60_000;
/** More than is buffered of a plain answer. */
const LARGE = 'a'.repeat(300 * 1024);
/** Plain answers are overdue after twice that. */
const TARGET_LATENCY_MS = 100;
const SILENT_LOG = { info: () => undefined, warn: () => undefined, lifecycle: () => undefined };

/** What a target does at a time after it was sent a request. */
type Script = readonly (readonly [atMs: number, step: (handlers: HttpStreamHandlers) => void])[];

const head =
  (status: number) =>
  (handlers: HttpStreamHandlers): void => {
    handlers.onStart(status, {}, []);
  };
const bytes =
  (text: string) =>
  (handlers: HttpStreamHandlers): void => {
    handlers.onData(Buffer.from(text));
  };
const end = (handlers: HttpStreamHandlers): void => {
  handlers.onEnd();
};

/** What the services decide, by the target that is chosen. */
interface Choices {
  /** Time until a connection to it is open. */
  readonly connectMs?: Readonly<Record<string, number>>;
  /** Time until its permit comes. */
  readonly permitMs?: Readonly<Record<string, number>>;
  /** The engine that streams, if it only reads the prompt. */
  readonly streamAt?: Readonly<Record<string, string>>;
  /** Time until a decision on a crash. */
  readonly decisionMs?: number;
  /** Receives what the scheduler is told. */
  readonly reported?: JobEventKind[];
}

const breakOff = (handlers: HttpStreamHandlers): void => {
  const kind = ExchangeFailureKind.Broken;
  handlers.onFailure({ kind, mayHaveRun: true, detail: 'broken off' });
};

/** Targets that are tried in the order of their scripts, and send nothing else. */
function createServices(
  scripts: Readonly<Record<string, Script>>,
  { connectMs = {}, permitMs = {}, streamAt = {}, decisionMs = 0, reported = [] }: Choices = {},
): ForwardingServices {
  const view = createFleetView();
  const targets = Object.keys(scripts).map((id) => ({
    id,
    name: id,
    bornAtMs: 0,
    version: 'v1',
    service: SERVICE,
    address: `${id}:80`,
    failureDomain: 'eros-hall',
    slots: 64,
    draining: false,
    phase: EnginePhase.Both,
  }));
  for (const target of targets) {
    applyChanges(view, [{ kind: FleetChangeKind.Target, revision: 1, target }], 1, 0);
  }
  const granted = Object.keys(scripts);
  const nowMs = (): number => performance.now();
  const wait = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
  return {
    view,
    wire: {
      targetHeaders: () => [],
      readAnswer: (status: number) => ({
        status,
        attemptId: 'request',
        notRun: status === REJECTED,
        encoded: false,
        hasKnownEnd: true,
        ...NOTHING_ANNOUNCED,
        unknownHeaders: [],
      }),
      readHandle: () => null,
      callerHeaders: () => [],
      gatewayResponseHeaders: () => ({}),
    },
    transport: {
      stream: ({ origin }: HttpRequest, handlers: HttpStreamHandlers) => {
        const { hostname } = new URL(origin);
        const script = scripts[hostname] ?? [];
        const timers = script.map(([atMs, step]) => setTimeout(step, atMs, handlers));
        timers.push(setTimeout(() => handlers.onSent?.(), connectMs[hostname] ?? 0));
        const stop = (): void => {
          timers.forEach(clearTimeout);
        };
        return { stop, pause: () => undefined, resume: () => undefined };
      },
    },
    budgets: {
      noteRequest: () => undefined,
      reserve: () => ({ open: () => () => undefined, release: () => undefined }),
    },
    health: {
      choose: (_: string, excluded: ReadonlySet<string>) =>
        targets.find(({ id }) => !excluded.has(id)) ?? null,
      noteSent: () => () => undefined,
      leavingShares: () => new Map(),
      recordSuccess: () => undefined,
      recordFailure: () => undefined,
    },
    limits: { take: ({ id }: { id: string }) => wait(permitMs[id] ?? 0).then(() => 0) },
    scheduling: {
      take: (_: string, _job: unknown, signal: AbortSignal) => {
        if (signal.aborted) return Promise.resolve(null);
        const id = granted.shift() ?? null;
        const plan = { readAt: id, fetchFrom: null, predictedReadMs: 0, waitedMs: 0 };
        const refusal = { kind: DecisionKind.Refuse, reason: 'no engine', retryAfterMs: 1 };
        const decision =
          id === null
            ? refusal
            : { kind: DecisionKind.Run, plan: { ...plan, streamAt: streamAt[id] ?? null } };
        return Promise.resolve({ decision, schedulerId: 'g' });
      },
      report: (_service: string, _scheduler: string, kind: JobEventKind) => {
        reported.push(kind);
      },
    },
    crashes: { ...NO_CRASHES, whenDecided: () => wait(decisionMs) },
    versions: ANY_VERSION,
    usage: NO_USAGE,
    probes: NONE_DOWN,
    pulse: { recordBytes: () => undefined, isInactive: () => true, lastBytesAtMs: () => -1 },
    onAnswerHead: () => undefined,
    elapsedMs: nowMs,
    nowMs,
    standstill: {
      catchUp: () => null,
      unreadSinceMs: nowMs,
      whenCaughtUp: (run: () => void) => {
        run();
      },
    },
    withholdReason: () => null,
    availability: { unavailable: () => [], availableInMs: () => 0, callerRetryInMs: () => 0 },
    log: SILENT_LOG,
    count: () => undefined,
    record: () => undefined,
  } as unknown as ForwardingServices;
}

/** What a caller got. */
interface Received {
  status: number | null;
  text: string;
  isWhole: boolean;
}

function createExchange(
  kind: DeliveryKind,
  resumable = true,
): { exchange: Exchange; received: Received } {
  const received: Received = { status: null, text: '', isWhole: false };
  const response = {
    headersSent: false,
    destroyed: false,
    writeHead: (status: number) => {
      assert.equal(response.headersSent, false, 'a second head');
      response.headersSent = true;
      received.status = status;
    },
    write: (part: Buffer) => {
      received.text += part.toString();
      return true;
    },
    end: (rest?: Buffer | string) => {
      received.text += rest?.toString() ?? '';
      received.isWhole = true;
    },
    destroy: () => {
      response.destroyed = true;
    },
  };
  const receivedAtMs = performance.now();
  const exchange = {
    id: 'request',
    head: { attemptId: 'request', parts: [], outputTokens: 1, lastEventId: null, resumes: null },
    route: { kind, targetLatencyMs: TARGET_LATENCY_MS, maxAttempts: 3, resumable },
    service: SERVICE,
    method: 'POST',
    path: '/',
    rawHeaders: [],
    body: Buffer.alloc(0),
    receivedAtMs,
    endsAtMs: receivedAtMs + DEADLINE_MS,
    response: response as unknown as ServerResponse,
    signal: new AbortController().signal,
    mayHaveRun: false,
    isQuarantined: false,
    isTrial: false,
    version: null,
    sentVersion: null,
    turnVersions: createTurnVersions(),
    content: () => 'content',
    sends: 0,
    prefills: 0,
    rejections: 0,
    retries: null,
    failedTargets: new Set(),
    firstEventMs: null,
    lastTarget: '',
  } as unknown as Exchange;
  return { exchange, received };
}

const FAILURE: Script = [
  [700, head(500)],
  [701, bytes('a failure')],
  [702, end],
];

const FAILURE_LATER: Script = [
  [1500, head(500)],
  [1501, end],
];

describe('a request whose targets fall silent', () => {
  describe('if it is plain', () => {
    it('gets the answer of a target that goes on while another is silent', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Idempotent);
      const first: Script = [
        [10, head(200)],
        [500, bytes('whole')],
        [510, end],
      ];
      await forwardPlain(exchange, createServices({ first, second: FAILURE }));
      assert.deepEqual(received, { status: 200, text: 'whole', isWhole: true });
    });

    // Each of them took itself for the first, so none drew on the budget or saw the route's limit.
    it('is sent to no more targets than it may when connections open late', async () => {
      const { exchange: created, received } = createExchange(DeliveryKind.Idempotent);
      const exchange = { ...created, route: { ...created.route, maxAttempts: 2 } };
      const answer: Script = [
        [1200, head(200)],
        [1201, bytes('whole')],
        [1202, end],
      ];
      const connectMs = { first: 700, second: 600, third: 500 };
      const services = createServices({ first: [], second: answer, third: [] }, { connectMs });
      let drawn = 0;
      const open = () => {
        drawn += 1;
        return () => undefined;
      };
      const budgets = {
        ...services.budgets,
        reserve: (_service: string, _request: string, arrivals: number) =>
          arrivals === 0 ? NO_RETRIES : { open, release: () => undefined },
      };
      await forwardPlain(exchange, { ...services, budgets });
      assert.equal(exchange.sends, 2);
      assert.equal(drawn, 1);
      assert.equal(received.isWhole, true);
    });

    it('gets an answer of which only the end was held back', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Idempotent);
      const first: Script = [
        [10, head(200)],
        [11, bytes('whole')],
        [500, end],
      ];
      await forwardPlain(exchange, createServices({ first, second: FAILURE }));
      assert.deepEqual(received, { status: 200, text: 'whole', isWhole: true });
    });

    it('gets the answer of a target that goes on while another is chosen', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Idempotent);
      const first: Script = [
        [10, head(200)],
        [300, bytes('whole')],
        [320, end],
      ];
      const services = createServices({ first, second: FAILURE }, { permitMs: { second: 300 } });
      await forwardPlain(exchange, services);
      assert.deepEqual(received, { status: 200, text: 'whole', isWhole: true });
      // The second target would work on a request that is answered.
      assert.equal(exchange.sends, 1);
    });

    // A part of the first answer was at the caller when the second one began.
    it('gets a large answer that goes on while another is chosen, and nothing else', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Idempotent);
      const first: Script = [
        [240, head(200)],
        [241, bytes(LARGE)],
        [600, bytes('rest')],
        [601, end],
      ];
      const second: Script = [
        [20, head(200)],
        [21, bytes('another answer')],
        [22, end],
      ];
      const services = createServices({ first, second }, { permitMs: { second: 100 } });
      await forwardPlain(exchange, services);
      assert.deepEqual(received, { status: 200, text: `${LARGE}rest`, isWhole: true });
      assert.equal(exchange.sends, 1);
    });

    // A rejection ended a request whose answer had begun.
    it('gets an answer that paused after its first part although another rejects', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Idempotent);
      const first: Script = [
        [20, head(200)],
        [21, bytes('who')],
        [450, bytes('le')],
        [451, end],
      ];
      const second: Script = [
        [20, head(REJECTED)],
        [21, end],
      ];
      await forwardPlain(exchange, createServices({ first, second }));
      assert.deepEqual(received, { status: 200, text: 'whole', isWhole: true });
    });

    // The head of the failure was at the caller when the answer came.
    it('gets the answer of a target while another sends a large failure', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Idempotent);
      const first: Script = [
        [250, head(500)],
        [251, bytes(LARGE)],
        [252, end],
      ];
      const second: Script = [
        [150, head(200)],
        [151, bytes('whole')],
        [152, end],
      ];
      await forwardPlain(exchange, createServices({ first, second }));
      assert.deepEqual(received, { status: 200, text: 'whole', isWhole: true });
    });
  });

  describe('if it is plain and its overdue answer breaks off', () => {
    const first: Script = [
      [10, head(200)],
      [300, breakOff],
    ];
    const second: Script = [
      [10, head(200)],
      [11, bytes('whole')],
      [12, end],
    ];

    // The request would be given up although a target was chosen for it.
    it('is sent to the target that is being chosen', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Idempotent);
      await forwardPlain(
        exchange,
        createServices({ first, second }, { permitMs: { second: 300 } }),
      );
      assert.deepEqual(received, { status: 200, text: 'whole', isWhole: true });
    });
  });

  describe('if it is a resumable stream', () => {
    const first: Script = [
      [10, head(200)],
      [11, bytes('id: 1\ndata: a\n\n')],
      [2200, bytes('id: 2\ndata: b\n\n')],
      [2210, end],
    ];
    const whole = { status: 200, text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isWhole: true };

    it('goes on at the first one after another has failed', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Stream);
      const early: Script = [
        [100, head(500)],
        [101, end],
      ];
      await forwardStream(exchange, createServices({ first, second: early }));
      assert.deepEqual(received, whole);
    });

    // Each further event told the scheduler again, which decided anew each time.
    it('tells the scheduler once that its prompt is read', async () => {
      const { exchange } = createExchange(DeliveryKind.Stream);
      const events = Array.from({ length: 8 }, (_, index) => `id: ${String(index)}\ndata: a\n\n`);
      const only: Script = [
        [10, head(200)],
        ...events.map((event, index): Script[number] => [11 + index, bytes(event)]),
        [30, end],
      ];
      const reported: JobEventKind[] = [];
      await forwardStream(exchange, createServices({ only }, { reported }));
      assert.deepEqual(reported, [JobEventKind.Read, JobEventKind.Served]);
    });

    // The first one is stopped when the second one has had the request for 300 ms.
    it('goes on at a third one while another fails after a silence', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Stream);
      const late: Script = [
        [850, head(500)],
        [851, bytes('a failure')],
        [900, end],
      ];
      const third: Script = [
        [280, head(200)],
        [281, bytes('id: 2\ndata: b\n\n')],
        [290, end],
      ];
      await forwardStream(exchange, createServices({ first, second: late, third }));
      assert.deepEqual(received, whole);
    });
  });

  describe('if it is a stream that ends while a decision on a crash is awaited', () => {
    // A caller that reads slowly keeps the answer open: a second engine was granted, and its events
    // written after the end.
    it('is not sent to another engine', async () => {
      const { exchange, received } = createExchange(DeliveryKind.Stream);
      const first: Script = [
        [10, head(200)],
        [11, bytes('id: 1\ndata: a\n\n')],
        [900, bytes('id: 2\ndata: b\n\n')],
        [901, end],
      ];
      const second: Script = [
        [20, head(200)],
        [21, bytes('id: 3\ndata: too much\n\n')],
        [22, end],
      ];
      await forwardStream(exchange, createServices({ first, second }, { decisionMs: 400 }));
      const text = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
      assert.deepEqual(received, { status: 200, text, isWhole: true });
      assert.equal(exchange.sends, 1);
    });
  });

  describe('if it is a stream that must not run twice', () => {
    // Its first prompt is not read, and the second engine may have run it before it failed.
    it('is not sent to a third one after another has failed', async () => {
      const { exchange } = createExchange(DeliveryKind.Stream, false);
      const failing: Script = [
        [100, head(500)],
        [101, end],
      ];
      const third: Script = [
        [10, head(200)],
        [11, end],
      ];
      const scripts = { first: FAILURE_LATER, second: failing, third };
      const services = createServices(scripts, { streamAt: { first: 'second' } });
      await forwardStream(exchange, services);
      assert.equal(exchange.sends, 1);
    });
  });
});
