/**
 * The load of a service of engines at its worst: long prompts with shared beginnings, more of them
 * than the engines can read in time. Sizes and shares are those of an ordinary deployment.
 */
import { type Job, type Random, seededRandom } from '@cassiamast/coordination';

/** One kind of request. */
interface RequestKind {
  readonly route: string;
  readonly priority: number;
  readonly perS: number;
  /** Tokens of the beginning that all requests of the kind share. */
  readonly headerTokens: number;
  /** Tokens of the part that requests about one subject share. */
  readonly subjectTokens: number;
  readonly subjects: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
}

/** What eight engines get at a load of 1. */
const KINDS: readonly RequestKind[] = [
  {
    route: 'audit',
    priority: 2,
    perS: 10.6,
    headerTokens: 4300,
    subjectTokens: 9000,
    subjects: 102,
    ownTokens: 3720,
    outputTokens: 15,
    aimMs: 800,
    deadlineMs: 3200,
  },
  {
    route: 'check',
    priority: 1,
    perS: 7.4,
    headerTokens: 2300,
    subjectTokens: 4000,
    subjects: 31,
    ownTokens: 2890,
    outputTokens: 7,
    aimMs: 600,
    deadlineMs: 2400,
  },
  {
    route: 'finding',
    priority: 0,
    perS: 11.9,
    headerTokens: 100,
    subjectTokens: 250,
    subjects: 115,
    ownTokens: 1110,
    outputTokens: 22,
    aimMs: 500,
    deadlineMs: 2400,
  },
];

/** Engines that the rates above are for. */
const ENGINES_OF_RATES = 8;

/** How much of what, and for how long. */
export interface WorkloadOptions {
  readonly engines: number;
  /** Gateways that callers reach by chance. */
  readonly gateways: number;
  /** 1 is an ordinary day. */
  readonly load: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** A request that arrives at a time; its times count from its arrival. */
export interface Arrival {
  readonly atMs: number;
  readonly job: Job;
}

/** Number of failure domains, over which gateways and engines are spread evenly. */
export const DOMAINS = 3;

/** Arrivals in the order of their time. */
export function makeWorkload(options: WorkloadOptions): readonly Arrival[] {
  const random = seededRandom(options.seed);
  const scale = (options.load * options.engines) / ENGINES_OF_RATES;
  const arrivals = KINDS.flatMap((kind) => arrivalsOf(kind, scale, options.durationMs, random));
  arrivals.sort((left, right) => left.atMs - right.atMs);
  // Drawn apart, so that the prompts of a seed are the same for any number of gateways.
  const pick = seededRandom(options.seed + 1);
  return arrivals.map(({ atMs, job }) => {
    const number = Math.floor(pick() * options.gateways);
    const failureDomain = `domain-${String(number % DOMAINS)}`;
    return { atMs, job: { ...job, gateway: `gateway-${String(number)}`, failureDomain } };
  });
}

const MS_PER_S = 1000;

function arrivalsOf(
  kind: RequestKind,
  scale: number,
  durationMs: number,
  random: Random,
): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  const meanGapMs = MS_PER_S / (kind.perS * scale);
  let atMs = -Math.log(1 - random()) * meanGapMs;
  while (atMs < durationMs) {
    arrivals.push({ atMs, job: makeJob(kind, arrivals.length, atMs, random) });
    atMs += -Math.log(1 - random()) * meanGapMs;
  }
  return arrivals;
}

/** Sizes spread by this factor either way around their mean. */
const SIZE_SPREAD = 1.1;

function makeJob(kind: RequestKind, number: number, atMs: number, random: Random): Job {
  const subject = Math.floor(random() * kind.subjects);
  const size = Math.exp((random() + random() + random() - 1.5) * SIZE_SPREAD);
  const id = `${kind.route}-${String(number)}`;
  return {
    id,
    route: kind.route,
    priority: kind.priority,
    parts: [
      { id: kind.route, tokens: kind.headerTokens },
      { id: `${kind.route}/${String(subject)}`, tokens: kind.subjectTokens },
      { id, tokens: Math.round(kind.ownTokens * size) },
    ],
    outputTokens: kind.outputTokens,
    failureDomain: 'domain-0',
    gateway: '',
    aimAtMs: atMs + kind.aimMs,
    deadlineAtMs: atMs + kind.deadlineMs,
    avoid: [],
    workspace: null,
    avoidUntilMs: 0,
  };
}
