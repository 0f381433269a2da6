/**
 * Prompts of true length from the hand-written entries: whole maintenance histories against the
 * return conditions, single defect entries; studies against the dispatcher's rules, single queries.
 */
import type { Random } from '@cassiamast/coordination';
import { randomBelow, seededRandom } from '@cassiamast/coordination';
import { parse } from 'yaml';
import { DeploymentName, readPromptFile } from '../deployment/files.js';
import { between, drawDate, fill, pick } from './random-fill.js';

/** A prompt with how long an answer is asked for. */
export interface Prompt {
  /** Short name of what it is, for the report. */
  readonly kind: string;
  readonly text: string;
  readonly maxTokens: number;
}

/** A call of the plain service. */
export interface PlainCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string;
  readonly repeatable: boolean;
}

/** What a deployment's callers ask. Each draw is unique by its reference number. */
export interface PromptSource {
  readonly model: string;
  readonly apiKeys: readonly string[];
  readonly plainService: string;
  readonly drawLong: (random: Random) => Prompt;
  readonly drawShort: (random: Random) => Prompt;
  readonly drawCall: (random: Random, repeatable: boolean) => PlainCall;
}

/** Entries of a whole history or study; at some thirty words each several thousand words. */
const LONG_ENTRIES = { low: 60, high: 240 };

/** Aircraft or applications: the record of one is the same whenever it is asked about. */
const SUBJECTS = 12;

/** The callers of a deployment. */
export function promptSource(name: DeploymentName): PromptSource {
  return name === DeploymentName.Kalahari ? kalahari() : tengis();
}

interface Entry {
  readonly ata: string;
  readonly text: string;
}

function kalahari(): PromptSource {
  const conditions = readPromptFile(DeploymentName.Kalahari, 'return-conditions.txt');
  const history = parse(readPromptFile(DeploymentName.Kalahari, 'history.yaml')) as {
    readonly taskCards: readonly Entry[];
    readonly defects: readonly Entry[];
  };
  const questions = parse(readPromptFile(DeploymentName.Kalahari, 'findings.yaml')) as {
    readonly instructions: readonly string[];
    readonly defectChecks: readonly string[];
  };
  const portal = parse(readPromptFile(DeploymentName.Kalahari, 'portal.yaml')) as {
    readonly findings: readonly object[];
    readonly lookups: readonly string[];
  };
  const entries = [...history.taskCards, ...history.defects];
  const drawEntry = (random: Random): string => {
    const entry = pick(random, entries);
    return `${drawDate(random)} ATA ${entry.ata} ${fill(entry.text, random)}`;
  };
  return {
    model: 'inspect-7b',
    apiKeys: ['demo-kalahari-inspectors', 'demo-kalahari-lessors'],
    plainService: 'ramp-portal',
    drawLong: (random) => ({
      kind: 'maintenance history',
      text: longPrompt(random, conditions, 'AIRCRAFT V5-K', drawEntry, questions.instructions),
      maxTokens: between(random, 40, 160),
    }),
    drawShort: (random) => ({
      kind: 'defect entry',
      text: `${reference(random)} ${fill(pick(random, questions.defectChecks), random)}`,
      maxTokens: between(random, 12, 60),
    }),
    drawCall: (random, repeatable) =>
      repeatable ? lookup(random, portal.lookups) : post(random, '/findings', portal.findings),
  };
}

function tengis(): PromptSource {
  const rules = readPromptFile(DeploymentName.Tengis, 'dispatcher-rules.txt');
  const studies = parse(readPromptFile(DeploymentName.Tengis, 'studies.yaml')) as {
    readonly feederNotes: readonly string[];
    readonly queries: readonly string[];
    readonly checks: readonly string[];
  };
  const filings = parse(readPromptFile(DeploymentName.Tengis, 'filings.yaml')) as {
    readonly receipts: readonly object[];
    readonly lookups: readonly string[];
  };
  const drawNote = (random: Random): string =>
    `${drawDate(random)} ${fill(pick(random, studies.feederNotes), random)}`;
  return {
    model: 'drafting-7b',
    apiKeys: [
      'demo-tengis-altan-wind',
      'demo-tengis-gobi-solar',
      'demo-tengis-khentii-hydro',
      'demo-tengis-steppe-storage',
    ],
    plainService: 'filing-desk',
    drawLong: (random) => ({
      kind: 'interconnection study',
      text: longPrompt(random, rules, 'APPLICATION NO. ', drawNote, studies.checks),
      maxTokens: between(random, 60, 220),
    }),
    drawShort: (random) => ({
      kind: 'query',
      text: `${reference(random)} ${fill(pick(random, studies.queries), random)}`,
      maxTokens: between(random, 20, 90),
    }),
    drawCall: (random, repeatable) =>
      repeatable ? lookup(random, filings.lookups) : post(random, '/receipts', filings.receipts),
  };
}

/** Rules first, then the record, then the question: beginnings are shared, as in practice. */
function longPrompt(
  random: Random,
  rules: string,
  title: string,
  drawEntry: (random: Random) => string,
  instructions: readonly string[],
): string {
  const subject = randomBelow(random, SUBJECTS);
  const recordRandom = seededRandom(subject + 1);
  const entries = Array.from(
    { length: between(recordRandom, LONG_ENTRIES.low, LONG_ENTRIES.high) },
    () => drawEntry(recordRandom),
  );
  const question = `${reference(random)} ${pick(random, instructions)}`;
  return [rules, `${title}${String(subject)}`, ...entries, question].join('\n\n');
}

/** A number that no other prompt of the run has, so that crossed answers show. */
function reference(random: Random): string {
  return `Ref. ${String(randomBelow(random, 2 ** 31))}.`;
}

function lookup(random: Random, paths: readonly string[]): PlainCall {
  return { method: 'GET', path: pick(random, paths), body: '', repeatable: true };
}

function post(random: Random, path: string, bodies: readonly object[]): PlainCall {
  const body = JSON.stringify({ ...pick(random, bodies), reference: reference(random) });
  return { method: 'POST', path, body, repeatable: false };
}
