/**
 * Tracks the rate limits that targets announce in their answers, as known to one gateway. A limit
 * applies to all gateways together, so they exchange reports of it, and the newest answer wins. A
 * limit ends with a later answer that announces none, or expires, since a target that receives no
 * requests announces nothing.
 */

/** A limit expires after this time without an answer that announces it. */
const LIMIT_TTL_MS = 60_000;
/** How long the end of a limit is reported to gateways that may still apply it. */
const REPORT_END_MS = 10_000;
/** Bound on tracked targets; far more than announce a limit at once. */
const MAX_TARGETS = 4096;
/** A limit that changes by no more than this fraction is not reported as a change. */
const MIN_CHANGE_RATIO = 0.1;

/** Kind of work that a target was called for. */
export enum RequestedWork {
  /** To prefill a prompt for another engine. */
  Read = 'read',
  /** To answer the request itself. */
  Run = 'run',
}

/** A target's answer, described by the request that it belongs to. */
export interface TargetAnswer {
  /** Work that was done; null if the target rejected it, and for calls that are not requests. */
  readonly work: RequestedWork | null;
  /** When the request was sent. */
  readonly sentAtMs: number;
  /** Id of the answer, unique across all gateways. */
  readonly origin: string;
}

/** Rate limit of a target according to its newest answer. */
export interface AnnouncedLimit {
  readonly service: string;
  /** Requests per second accepted from all gateways together; null if there is no limit. */
  readonly perS: number | null;
  /** Id of the answer; part of each report, so that no answer counts twice. */
  readonly origin: string;
  /** Kind of work whose answers announce the limit; null if unknown. */
  readonly work: RequestedWork | null;
  /** When the answer was received, by this gateway's clock. */
  readonly receivedAtMs: number;
  /** Start of the current state: limited, with whatever rate, or unlimited. */
  readonly sinceMs: number;
}

/** An {@link AnnouncedLimit} as reported to another gateway: ages replace times, as clocks differ. */
export interface LimitReport {
  readonly target: string;
  readonly service: string;
  readonly perS: number | null;
  readonly origin: string;
  readonly work: RequestedWork | null;
  /** Time since the answer. */
  readonly ageMs: number;
  /** Time since the first answer of the current state, limited or unlimited. */
  readonly saidForMs: number;
}

/** Limits by target id. A target that restarts gets a new id. */
export type AnnouncedLimits = Map<string, AnnouncedLimit>;

/** The target that sent an answer. */
export interface AnsweringTarget {
  readonly id: string;
  readonly service: string;
}

/** Records an announced limit. Returns whether it differs notably from the one known before. */
export function recordLimit(
  limits: AnnouncedLimits,
  { id, service }: AnsweringTarget,
  perS: number,
  { origin, work }: TargetAnswer,
  nowMs: number,
): boolean {
  const known = limitOf(limits, id, nowMs);
  storeLimit(limits, id, {
    service,
    perS,
    origin,
    work: work ?? known?.work ?? null,
    receivedAtMs: nowMs,
    sinceMs: known?.sinceMs ?? nowMs,
  });
  return isNotableChange(known?.perS ?? null, perS);
}

/**
 * Handles an answer that announces no limit. Returns whether it ends a known one. Answers that say
 * nothing about the limit are ignored: those to requests sent before the target announced its limit,
 * rejections, and those to another kind of work than the one whose answers announce it.
 */
export function recordNoLimit(
  limits: AnnouncedLimits,
  { id, service }: AnsweringTarget,
  { work, sentAtMs, origin }: TargetAnswer,
  nowMs: number,
): boolean {
  const known = limits.get(id);
  if (known === undefined || work === null || sentAtMs <= known.receivedAtMs) return false;
  if (known.work !== null && known.work !== work) return false;
  // Later answers refresh the end, so that it supersedes delayed reports at other gateways.
  const endsLimit = known.perS !== null;
  const sinceMs = endsLimit ? nowMs : known.sinceMs;
  storeLimit(limits, id, { ...known, service, perS: null, origin, receivedAtMs: nowMs, sinceMs });
  return endsLimit;
}

/** Merges reports of another gateway. Returns the targets whose limit changed notably. */
export function mergeLimits(
  limits: AnnouncedLimits,
  reports: readonly LimitReport[],
  nowMs: number,
): readonly string[] {
  return reports.flatMap(({ target, ageMs, saidForMs, ...rest }) => {
    const { origin } = rest;
    const known = limits.get(target);
    const receivedAtMs = nowMs - ageMs;
    if (known !== undefined && (known.origin === origin || known.receivedAtMs >= receivedAtMs))
      return [];
    const before = limitOf(limits, target, nowMs)?.perS ?? null;
    storeLimit(limits, target, { ...rest, receivedAtMs, sinceMs: nowMs - saidForMs });
    return isNotableChange(before, limitOf(limits, target, nowMs)?.perS ?? null) ? [target] : [];
  });
}

/** Returns the limit that applies to a target now, or null if there is none. */
export function limitOf(
  limits: AnnouncedLimits,
  target: string,
  nowMs: number,
): (AnnouncedLimit & { readonly perS: number }) | null {
  const known = limits.get(target);
  if (known === undefined || known.perS === null) return null;
  return nowMs - known.receivedAtMs < LIMIT_TTL_MS ? { ...known, perS: known.perS } : null;
}

/** Returns what to report to other gateways about the targets of a service. */
export function limitReports(
  limits: AnnouncedLimits,
  service: string,
  nowMs: number,
): readonly LimitReport[] {
  return [...limits].flatMap(([target, known]) => {
    if (known.service !== service || !isReported(known, nowMs)) return [];
    const { receivedAtMs, sinceMs, ...rest } = known;
    return [{ target, ...rest, ageMs: nowMs - receivedAtMs, saidForMs: nowMs - sinceMs }];
  });
}

/** Returns the services with limits, or recent ends of limits, to report to other gateways. */
export function servicesWithLimits(limits: AnnouncedLimits, nowMs: number): readonly string[] {
  const reported = [...limits.values()].filter((known) => isReported(known, nowMs));
  return [...new Set(reported.map(({ service }) => service))];
}

/** Removes entries that are no longer reported. Returns the targets whose limit expired. */
export function dropOldLimits(limits: AnnouncedLimits, nowMs: number): readonly string[] {
  return [...limits].flatMap(([target, known]) => {
    if (isReported(known, nowMs)) return [];
    limits.delete(target);
    return known.perS === null ? [] : [target];
  });
}

function isReported({ perS, receivedAtMs, sinceMs }: AnnouncedLimit, nowMs: number): boolean {
  return perS === null ? nowMs - sinceMs < REPORT_END_MS : nowMs - receivedAtMs < LIMIT_TTL_MS;
}

function isNotableChange(before: number | null, after: number | null): boolean {
  if (before === null || after === null) return before !== after;
  return Math.abs(after - before) > before * MIN_CHANGE_RATIO;
}

function storeLimit(limits: AnnouncedLimits, target: string, limit: AnnouncedLimit): void {
  // Reinserts the target at the end, so that the least recently updated target comes first.
  limits.delete(target);
  limits.set(target, limit);
  const oldest = limits.keys().next().value;
  if (limits.size > MAX_TARGETS && oldest !== undefined) limits.delete(oldest);
}
