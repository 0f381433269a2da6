/**
 * The oracle of the requests world. It knows nothing of the decision code: it notes what each caller
 * was sent and told and what each engine ran, and compares that with the promises.
 */
import { RunState } from '@cassiamast/coordination';
import type { Attempt } from '@cassiamast/coordination';
import { holds } from '../../kit/violation.js';
import type { Simulation } from './simulation.js';
import { notePartitions, mayDiffer, JOINED_AFTER_MS, keepsRecord } from './oracle-records.js';
import { isCalm, copiesWanted } from './oracle-runs.js';
import type { ContentCrashes } from './oracle-runs.js';

/** One text that a caller puts together over its connections. */
export interface Reading {
  readonly tokens: string[];
  lastEventId: string | null;
}

/** One connection of a caller. */
export interface CallerConnection {
  readonly id: number;
  readonly keyText: string;
  readonly bodyHash: string;
  readonly repeatable: boolean;
  readonly poisonous: boolean;
  readonly entryId: string;
  readonly reading: Reading;
  /** The caller is there and waits. */
  isOpen: boolean;
  /** Told a final answer or refusal. */
  isTold: boolean;
  wasAnswered: boolean;
}

interface NotedRun {
  readonly attempt: Attempt;
  readonly keyText: string;
  readonly bodyHash: string;
  readonly text: string[];
  isWhole: boolean;
}

/** What is known of a key with one body. */
export interface KeyHistory {
  readonly startedAttempts: string[];
  lastStartedAtMs: number;
  /** The answer that must be told from now on; null where either of two may come. */
  answer: string | null;
  /** Attempts that were sent out before "not-run" was told: none may start afterwards. */
  readonly barred: Set<string>;
  readonly sentOut: Set<string>;
  /** Every copy of the record was lost at some time, so that a rerun may differ. */
  recordLost: boolean;
  /** Last time at which the fleet was parted while the key was in use; far back for never. */
  lastPartedAtMs: number;
}

interface EntryTries {
  first: number;
  retries: number;
}

/** The oracle's notes. */
export interface Oracle {
  readonly runs: Map<string, NotedRun>;
  readonly keys: Map<string, KeyHistory>;
  readonly connections: CallerConnection[];
  readonly crashesByContent: Map<string, ContentCrashes>;
  readonly triesByEntry: Map<string, EntryTries>;
  /** Last time at which running processes could not reach each other. */
  lastPartedAtMs: number;
  /** Last time at which a process died. */
  lastKillAtMs: number;
  /** Last time at which some living process was out of others' reach. */
  lastHiddenAtMs: number;
  /** What happened, one line each; the oldest lines of a long run are dropped. */
  readonly story: string[];
}
export const SEPARATOR = '\u0000';
/** Between an entry's incarnation and the number of the caller's connection in a drive's id. */
export const CALLER_SEPARATOR = '~';

/** Nothing noted. */
export function createOracle(): Oracle {
  return {
    runs: new Map(),
    keys: new Map(),
    connections: [],
    crashesByContent: new Map(),
    triesByEntry: new Map(),
    lastPartedAtMs: -Infinity,
    lastKillAtMs: -Infinity,
    lastHiddenAtMs: -Infinity,
    story: [],
  };
}
const STORY_LINES = 200;

/** Adds a line to the story of the run. */
export function tell(simulation: Simulation, line: string): void {
  const { story } = simulation.oracle;
  story.push(`${String(simulation.scheduler.nowMs).padStart(7)} ms  ${line}`);
  if (story.length > STORY_LINES) story.shift();
}

/** The notes of a key with a body. */
export function historyOf(oracle: Oracle, keyText: string, bodyHash: string): KeyHistory {
  const name = `${keyText}${SEPARATOR}${bodyHash}`;
  let history = oracle.keys.get(name);
  if (history === undefined) {
    history = {
      startedAttempts: [],
      lastStartedAtMs: -Infinity,
      answer: null,
      barred: new Set(),
      sentOut: new Set(),
      recordLost: false,
      lastPartedAtMs: -Infinity,
    };
    oracle.keys.set(name, history);
  }
  return history;
}

/** An entry hands an attempt out. */
export function onSentOut(
  simulation: Simulation,
  connection: CallerConnection,
  attempt: Attempt,
  burst: { readonly ratio: number; readonly size: number },
): void {
  const { oracle } = simulation;
  historyOf(oracle, connection.keyText, connection.bodyHash).sentOut.add(attempt.id);
  tell(simulation, `sent out ${connection.keyText} ${connection.bodyHash} ${attemptText(attempt)}`);
  if (attempt.number === 1 || attempt.startIndex > 0) return;
  const tries = triesOf(oracle, attempt.id.split(CALLER_SEPARATOR)[0] ?? '');
  tries.retries += 1;
  const allowed = burst.size + tries.first * burst.ratio;
  holds(
    tries.retries <= allowed,
    'retries-stay-in-budget',
    () => `${String(tries.retries)} retries of ${String(tries.first)} first tries`,
  );
}

/** A caller's request reaches an entry. */
export function onArrival(
  simulation: Simulation,
  connection: CallerConnection,
  entryIncarnation: string,
): void {
  simulation.oracle.connections.push(connection);
  const { id, keyText, bodyHash, entryId, reading } = connection;
  historyOf(simulation.oracle, keyText, bodyHash);
  const rest = reading.lastEventId === null ? '' : ` after ${reading.lastEventId}`;
  tell(simulation, `caller ${String(id)} sends ${keyText} ${bodyHash} to ${entryId}${rest}`);
  triesOf(simulation.oracle, entryIncarnation).first += 1;
}

function triesOf(oracle: Oracle, entryId: string): EntryTries {
  let tries = oracle.triesByEntry.get(entryId);
  if (tries === undefined) {
    tries = { first: 0, retries: 0 };
    oracle.triesByEntry.set(entryId, tries);
  }
  return tries;
}

/** A caller is sent tokens. */
export function onToldTokens(
  connection: CallerConnection,
  index: number,
  tokens: readonly string[],
  eventId: string,
): void {
  const { reading } = connection;
  holds(!connection.isTold, 'answered-once', () => `tokens after the end of ${connection.keyText}`);
  holds(
    index === reading.tokens.length,
    'text-grows-at-its-end',
    () => `token ${String(index)} after ${String(reading.tokens.length)}`,
  );
  reading.tokens.push(...tokens);
  reading.lastEventId = eventId;
}

/** A caller is told that its answer is whole. */
export function onToldAnswer(simulation: Simulation, connection: CallerConnection): void {
  const { oracle } = simulation;
  const text = connection.reading.tokens.join('');
  tell(simulation, `caller ${String(connection.id)} of ${connection.keyText} has: ${text}`);
  holds(!connection.isTold, 'answered-once', () => `two ends of ${connection.keyText}`);
  connection.isTold = true;
  connection.wasAnswered = true;
  checkTwoHaveAnswer(simulation, connection, text);
  const isOwn = [...oracle.runs.values()].some((run) => isWholeAnswer(run, connection, text));
  holds(isOwn, 'whole-answer-to-its-own-request', () => `${connection.keyText} was sent ${text}`);
  const history = historyOf(oracle, connection.keyText, connection.bodyHash);
  notePartitions(simulation);
  const isSame = history.answer === null || history.answer === text;
  holds(
    isSame || mayDiffer(simulation, history),
    'one-answer-per-request',
    () => `${connection.keyText}: ${history.answer ?? ''} then ${text}`,
  );
  const isSettled = simulation.scheduler.nowMs - history.lastPartedAtMs >= JOINED_AFTER_MS;
  history.answer = isSame || isSettled ? text : null;
  if (isSettled) history.recordLost = false;
}

function checkTwoHaveAnswer(
  simulation: Simulation,
  connection: CallerConnection,
  text: string,
): void {
  if (!isCalm(simulation)) return;
  const copies = simulation.nodes.filter((node) => keepsRecord(node, connection.keyText, '', text));
  holds(
    copies.length >= copiesWanted(simulation, connection.entryId),
    'recorded-before-it-is-told',
    () => `${connection.keyText} is told with ${String(copies.length)} records`,
  );
}

function isWholeAnswer(run: NotedRun, connection: CallerConnection, text: string): boolean {
  const isOfRequest = run.keyText === connection.keyText && run.bodyHash === connection.bodyHash;
  return isOfRequest && run.isWhole && run.text.join('') === text;
}

/** A caller is refused. */
export function onToldRefusal(
  simulation: Simulation,
  connection: CallerConnection,
  runState: RunState,
  reason: string,
): void {
  const { id, keyText } = connection;
  tell(simulation, `caller ${String(id)} of ${keyText} is refused, ${runState}: ${reason}`);
  holds(!connection.isTold, 'answered-once', () => `two ends of ${connection.keyText}`);
  connection.isTold = true;
  const history = historyOf(simulation.oracle, connection.keyText, connection.bodyHash);
  checkLaterAttemptStands(simulation, connection, history, reason);
  if (runState !== RunState.NotRun) return;
  const sinceMs = simulation.scheduler.nowMs - simulation.options.absenceHorizonMs;
  holds(
    history.lastStartedAtMs < sinceMs,
    'not-run-is-true',
    () => `${connection.keyText} ran as ${history.startedAttempts.join(', ')}`,
  );
  for (const attemptId of history.sentOut) history.barred.add(attemptId);
}

/** Whether an attempt has the highest number alone, and its sidecar was well all the time. */
function isLater(simulation: Simulation, history: KeyHistory, attempt: Attempt): boolean {
  const { oracle, byId } = simulation;
  const numbers = history.startedAttempts.map((id) => oracle.runs.get(id)?.attempt.number ?? 0);
  const startedAtMs = history.lastStartedAtMs;
  const isWell = (byId.get(attempt.sidecar)?.lastDownAtMs ?? Infinity) < startedAtMs;
  return isWell && numbers.filter((number) => number >= attempt.number).length === 1;
}

/** Who reads the latest attempt, which came to its end, is not cut by an earlier one's late end. */
function checkLaterAttemptStands(
  simulation: Simulation,
  connection: CallerConnection,
  history: KeyHistory,
  reason: string,
): void {
  notePartitions(simulation);
  if (!reason.includes('differs from what was sent')) return;
  if (history.recordLost || history.lastPartedAtMs > -Infinity) return;
  if (simulation.scheduler.nowMs - simulation.oracle.lastPartedAtMs < JOINED_AFTER_MS) return;
  const latest = history.startedAttempts.at(-1) ?? '';
  const run = simulation.oracle.runs.get(latest);
  if (run?.isWhole !== true || !isLater(simulation, history, run.attempt)) return;
  const last = connection.reading.tokens.at(-1) ?? '';
  holds(
    !last.startsWith(`${latest}:`),
    'later-attempt-stands',
    () => `caller ${String(connection.id)} read ${latest}`,
  );
}

export function attemptText(attempt: Attempt): string {
  const { id, number, sidecar, alone, startIndex } = attempt;
  const from = startIndex > 0 ? ` from token ${String(startIndex)}` : '';
  return `as ${id}, number ${String(number)}${alone ? ' alone' : ''}, at ${sidecar}${from}`;
}

/** Whether a key's calls may be repeated; part of the key's name in this world. */
export function isRepeatableKey(keyText: string): boolean {
  return !keyText.includes('once');
}

/** Whether a content crashes engines; part of its hash in this world. */
export function isPoisonousBody(bodyHash: string): boolean {
  return bodyHash.startsWith('poison');
}
