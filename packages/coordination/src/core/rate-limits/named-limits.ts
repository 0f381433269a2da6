/**
 * The rate limits that targets name in their answers, as one gateway knows them. A limit holds for
 * all gateways together, so they tell each other what they heard; the newest answer counts. An
 * answer without a limit ends it, and so does time: a target that nobody asks names nothing.
 */

/** A limit is kept for so long without an answer that names it. */
const KEEP_MS = 60_000;
/** How long an end is told to gateways that may still know the limit. */
const TELL_END_MS = 10_000;
/** Targets that are remembered; far more than name a limit at once. */
const MAX_TARGETS = 4096;
/** A change of a limit by less is not news. */
const NEWS_RATIO = 0.1;

/** What a target was asked for. */
export enum AskedWork {
  /** To read a prompt for another engine. */
  Read = 'read',
  /** To answer the request itself. */
  Run = 'run',
}

/** An answer of a target, and the request that it is to. */
export interface TargetAnswer {
  /** Null where it did not do what it was asked for, and for calls that are no request. */
  readonly work: AskedWork | null;
  readonly sentAtMs: number;
  /** Tells the answer from any other, at all gateways. */
  readonly origin: string;
}

/** What the newest answer of a target said. */
export interface NamedLimit {
  readonly service: string;
  /** Requests a second that it takes from all gateways together; null where it names none. */
  readonly perS: number | null;
  /** The answer that said so; told along, so that no answer counts twice. */
  readonly origin: string;
  /** Answers to such work name it; null where it is not known. */
  readonly work: AskedWork | null;
  readonly heardAtMs: number;
  /** Since when it has named a limit, whatever the number, or none. */
  readonly sinceMs: number;
}

/** The same as it is told to another gateway, whose clock differs. */
export interface LimitReport {
  readonly target: string;
  readonly service: string;
  readonly perS: number | null;
  readonly origin: string;
  readonly work: AskedWork | null;
  /** Milliseconds since the answer. */
  readonly ageMs: number;
  /** Milliseconds since the first answer that named a limit, or none again. */
  readonly saidForMs: number;
}

/** Limits by the target's id; a target that starts again has another one. */
export type NamedLimits = Map<string, NamedLimit>;

/** The target whose answer is looked at. */
export interface AnsweringTarget {
  readonly id: string;
  readonly service: string;
}

/** An answer named a limit; gives whether that is news. */
export function noteLimitNamed(
  limits: NamedLimits,
  { id, service }: AnsweringTarget,
  perS: number,
  { origin, work }: TargetAnswer,
  nowMs: number,
): boolean {
  const known = limitOf(limits, id, nowMs);
  put(limits, id, {
    service,
    perS,
    origin,
    work: work ?? known?.work ?? null,
    heardAtMs: nowMs,
    sinceMs: known?.sinceMs ?? nowMs,
  });
  return isNews(known?.perS ?? null, perS);
}

/**
 * An answer to a request named no limit; gives whether that ends one. Guards against a limit that
 * ends by an answer which says nothing of it: one that was on its way before the target named its
 * limit, a refusal, or one to other work than that whose answers name it.
 */
export function noteLimitMissing(
  limits: NamedLimits,
  { id, service }: AnsweringTarget,
  { work, sentAtMs, origin }: TargetAnswer,
  nowMs: number,
): boolean {
  const known = limits.get(id);
  if (known === undefined || work === null || sentAtMs <= known.heardAtMs) return false;
  if (known.work !== null && known.work !== work) return false;
  // Each further answer makes the end newer, so that it overtakes what others were told late.
  const isNewEnd = known.perS !== null;
  const sinceMs = isNewEnd ? nowMs : known.sinceMs;
  put(limits, id, { ...known, service, perS: null, origin, heardAtMs: nowMs, sinceMs });
  return isNewEnd;
}

/** Takes in what another gateway heard; gives the targets of which it is news. */
export function mergeLimits(
  limits: NamedLimits,
  reports: readonly LimitReport[],
  nowMs: number,
): readonly string[] {
  return reports.flatMap(({ target, ageMs, saidForMs, ...said }) => {
    const { origin } = said;
    const known = limits.get(target);
    const heardAtMs = nowMs - ageMs;
    if (known !== undefined && (known.origin === origin || known.heardAtMs >= heardAtMs)) return [];
    const before = limitOf(limits, target, nowMs)?.perS ?? null;
    put(limits, target, { ...said, heardAtMs, sinceMs: nowMs - saidForMs });
    return isNews(before, limitOf(limits, target, nowMs)?.perS ?? null) ? [target] : [];
  });
}

/** The limit that a target names now; null where it names none. */
export function limitOf(
  limits: NamedLimits,
  target: string,
  nowMs: number,
): (NamedLimit & { readonly perS: number }) | null {
  const known = limits.get(target);
  if (known === undefined || known.perS === null) return null;
  return nowMs - known.heardAtMs < KEEP_MS ? { ...known, perS: known.perS } : null;
}

/** What other gateways are to know of a service's targets. */
export function limitReports(
  limits: NamedLimits,
  service: string,
  nowMs: number,
): readonly LimitReport[] {
  return [...limits].flatMap(([target, known]) => {
    if (known.service !== service || !isTold(known, nowMs)) return [];
    const { heardAtMs, sinceMs, ...said } = known;
    return [{ target, ...said, ageMs: nowMs - heardAtMs, saidForMs: nowMs - sinceMs }];
  });
}

/** Services of which other gateways are to know something. */
export function servicesWithLimits(limits: NamedLimits, nowMs: number): readonly string[] {
  const told = [...limits.values()].filter((known) => isTold(known, nowMs));
  return [...new Set(told.map(({ service }) => service))];
}

/** Forgets what is no longer told to anybody; gives the targets whose limit lapsed. */
export function dropOldLimits(limits: NamedLimits, nowMs: number): readonly string[] {
  return [...limits].flatMap(([target, known]) => {
    if (isTold(known, nowMs)) return [];
    limits.delete(target);
    return known.perS === null ? [] : [target];
  });
}

function isTold({ perS, heardAtMs, sinceMs }: NamedLimit, nowMs: number): boolean {
  return perS === null ? nowMs - sinceMs < TELL_END_MS : nowMs - heardAtMs < KEEP_MS;
}

function isNews(before: number | null, after: number | null): boolean {
  if (before === null || after === null) return before !== after;
  return Math.abs(after - before) > before * NEWS_RATIO;
}

function put(limits: NamedLimits, target: string, limit: NamedLimit): void {
  // Moved to the end, so that the target that was not heard of for longest stands first.
  limits.delete(target);
  limits.set(target, limit);
  const oldest = limits.keys().next().value;
  if (limits.size > MAX_TARGETS && oldest !== undefined) limits.delete(oldest);
}
