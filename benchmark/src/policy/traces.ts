/** The traces, by name. Each is made from a seed and a scale: 1 is the fleet of today. */
import { seededRandom } from '@cassiamast/coordination';
import type { Random } from '@cassiamast/coordination';
import { generateRequests } from './generate.js';
import type { Mix, RequestSource } from './generate.js';
import { FaultKind } from './trace.js';
import type { ServiceTrace, Trace } from './trace.js';

/** Engines of the larger service and entries at both deployments today. */
const ENGINES_TODAY = 8;
const ENTRIES_TODAY = 3;

/** Engines of the smaller service. */
const SMALL_SERVICE_ENGINES = 3;

/** Offered load of traces that are not about overload. */
const USUAL_LOAD = 0.8;

/** Prefill share of the work at the target size. */
const USUAL_SHARE = 0.27;

/** Engine time of a mean request at the target size: 8.4 requests a second and server. */
const USUAL_WORK_MS = 110;

type Plan = Partial<Omit<ServiceTrace, 'requests'>> & {
  readonly source?: Partial<RequestSource>;
  readonly mixAt: (atMs: number) => Mix;
};

function makeService(plan: Plan, scale: number, random: Random): ServiceTrace {
  const engines = plan.engines ?? ENGINES_TODAY * scale;
  const entries = ENTRIES_TODAY * scale;
  const durationMs = plan.durationMs ?? 240_000;
  const requests = generateRequests(
    {
      engines,
      entries,
      durationMs,
      workspaces: 10,
      skew: 1,
      workMs: USUAL_WORK_MS,
      sharing: { prefixes: 10 * scale, prefixTokens: 768 },
      mixAt: plan.mixAt,
      ...plan.source,
    },
    random,
  );
  return {
    service: plan.service ?? 'inspect-llm',
    engines,
    entries,
    initialReaders: plan.initialReaders ?? Math.ceil(engines * USUAL_SHARE),
    durationMs,
    requests,
    faults: plan.faults ?? [],
    outages: plan.outages ?? [],
    reportIntervalMs: plan.reportIntervalMs ?? 500,
    reportLagMs: plan.reportLagMs ?? 300,
    answerLoadLagMs: plan.answerLoadLagMs ?? 100,
    shifts: plan.shifts ?? 0,
    hog: plan.hog ?? null,
  };
}

function steady(share: number, load: number): (atMs: number) => Mix {
  return () => ({ prefillShare: share, load });
}

function stepAt(atMs: number, before: number, after: number, load: number): (t: number) => Mix {
  return (t) => ({ prefillShare: t < atMs ? before : after, load });
}

function alternating(
  periodMs: number,
  first: number,
  second: number,
  load: number,
): (t: number) => Mix {
  return (t) => ({ prefillShare: Math.floor(t / periodMs) % 2 === 0 ? first : second, load });
}

const DAY_MS = 600_000;

function overADay(t: number): Mix {
  const swing = 0.5 * Math.sin((2 * Math.PI * t) / DAY_MS);
  return { prefillShare: USUAL_SHARE * (1 + swing), load: USUAL_LOAD };
}

/** All traces of one service. */
const SINGLE: Readonly<Record<string, (scale: number, random: Random) => ServiceTrace>> = {
  steady27: (scale, random) =>
    makeService({ mixAt: steady(USUAL_SHARE, USUAL_LOAD) }, scale, random),
  'shift-half-day': (scale, random) =>
    makeService({ mixAt: overADay, durationMs: DAY_MS, shifts: 2 }, scale, random),
  'read-then-line': (scale, random) =>
    makeService(
      { mixAt: alternating(120_000, 0.2, 0.65, USUAL_LOAD), durationMs: 480_000, shifts: 3 },
      scale,
      random,
    ),
  'short-swings': (scale, random) =>
    makeService({ mixAt: alternating(8000, 0.14, 0.4, USUAL_LOAD) }, scale, random),
  'shift-with-losses': (scale, random) =>
    makeService(
      {
        mixAt: stepAt(140_000, 0.2, 0.5, 0.62),
        durationMs: 300_000,
        shifts: 1,
        faults: losses(scale),
      },
      scale,
      random,
    ),
  'stale-5s': (scale, random) =>
    makeService(
      {
        mixAt: stepAt(120_000, 0.2, 0.45, USUAL_LOAD),
        durationMs: 300_000,
        shifts: 1,
        reportIntervalMs: 1000,
        reportLagMs: 5000,
        answerLoadLagMs: 5000,
      },
      scale,
      random,
    ),
  'kv-outage-shift': (scale, random) =>
    makeService(
      {
        mixAt: stepAt(100_000, 0.2, 0.45, USUAL_LOAD),
        durationMs: 300_000,
        shifts: 1,
        outages: [{ fromMs: 80_000, toMs: 160_000 }],
      },
      scale,
      random,
    ),
  'hog-960': hogTrace,
  'shared-prefix': (scale, random) =>
    makeService(
      {
        mixAt: steady(0.12, USUAL_LOAD),
        source: { sharing: { prefixes: 200 * scale, prefixTokens: 4096 }, workMs: 90 },
      },
      scale,
      random,
    ),
  'no-prefix': (scale, random) =>
    makeService(
      {
        mixAt: steady(USUAL_SHARE, USUAL_LOAD),
        source: { sharing: { prefixes: 0, prefixTokens: 0 } },
      },
      scale,
      random,
    ),
  'overload-1.5x': (scale, random) =>
    makeService({ mixAt: steady(USUAL_SHARE, 1.5), durationMs: 180_000 }, scale, random),
};

/** A crash with a return, a withdrawal, and a second crash soon after the shift. */
function losses(scale: number): ServiceTrace['faults'] {
  const faults = [];
  for (let copy = 0; copy < scale; copy += 1) {
    const first = copy * ENGINES_TODAY;
    faults.push(
      { atMs: 80_000, kind: FaultKind.Crash, engine: first + 5 },
      { atMs: 110_000, kind: FaultKind.Restart, engine: first + 5 },
      { atMs: 150_000, kind: FaultKind.Crash, engine: first + 2 },
      { atMs: 175_000, kind: FaultKind.Restart, engine: first + 2 },
      { atMs: 200_000, kind: FaultKind.Withdraw, engine: first + 6 },
    );
  }
  return faults;
}

/** Number of workspaces at the target size. */
const MANY_WORKSPACES = 960;

function hogTrace(scale: number, random: Random): ServiceTrace {
  const source = {
    workspaces: MANY_WORKSPACES,
    skew: 0.5,
    sharing: { prefixes: MANY_WORKSPACES, prefixTokens: 768 },
  };
  const base = makeService({ mixAt: steady(USUAL_SHARE, 0.65), source, hog: 'hog' }, scale, random);
  const extra = makeService(
    {
      mixAt: (t) => ({
        prefillShare: USUAL_SHARE,
        load: t > 60_000 && t < 180_000 ? 0.7 : 0.0001,
      }),
      source: { workspaces: 1, sharing: { prefixes: 0, prefixTokens: 0 } },
    },
    scale,
    random,
  );
  const hog = extra.requests.map((request) => ({ ...request, workspace: 'hog' }));
  const requests = [...base.requests, ...hog].sort((a, b) => a.atMs - b.atMs);
  return { ...base, requests };
}

/** Inspection at Windhoek: whole histories are read in bursts, then findings are drafted. */
function kalahari(scale: number, random: Random): readonly ServiceTrace[] {
  const inspecting = (t: number): Mix => {
    const burst = Math.floor(t / 90_000) % 3 === 1;
    return burst ? { prefillShare: 0.6, load: 0.82 } : { prefillShare: 0.25, load: 0.72 };
  };
  return [
    makeService({ mixAt: inspecting, durationMs: 540_000, shifts: 4 }, scale, random),
    makeService(
      {
        service: 'ramp-portal',
        engines: SMALL_SERVICE_ENGINES * scale,
        initialReaders: scale,
        mixAt: steady(0.3, 0.6),
        durationMs: 540_000,
        source: { workMs: 40 },
      },
      scale,
      random,
    ),
  ];
}

/** Drafting at Ulaanbaatar: five partners, long drafts, and studies read before a filing window. */
function tengis(scale: number, random: Random): readonly ServiceTrace[] {
  const filing = (t: number): Mix => {
    const window = t > 200_000 && t < 380_000;
    return window ? { prefillShare: 0.42, load: 0.85 } : { prefillShare: 0.15, load: 0.78 };
  };
  return [
    makeService(
      {
        service: 'lm-drafting',
        mixAt: filing,
        durationMs: 540_000,
        shifts: 2,
        source: { workspaces: 5, sharing: { prefixes: 5, prefixTokens: 1536 }, workMs: 140 },
      },
      scale,
      random,
    ),
    makeService(
      {
        service: 'filing-desk',
        engines: SMALL_SERVICE_ENGINES * scale,
        initialReaders: scale,
        mixAt: steady(0.35, 0.55),
        durationMs: 540_000,
        source: { workspaces: 5, workMs: 40 },
      },
      scale,
      random,
    ),
  ];
}

/** Names of all traces. */
export const TRACE_NAMES: readonly string[] = [...Object.keys(SINGLE), 'kalahari', 'tengis'];

/** Makes a trace by name. */
export function makeTrace(name: string, seed: number, scale: number): Trace | null {
  const random = seededRandom(seed * 7919 + TRACE_NAMES.indexOf(name));
  if (name === 'kalahari') return { name, services: kalahari(scale, random) };
  if (name === 'tengis') return { name, services: tengis(scale, random) };
  const make = SINGLE[name];
  return make === undefined ? null : { name, services: [make(scale, random)] };
}
