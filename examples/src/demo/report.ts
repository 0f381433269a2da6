/**
 * The report page of a run: the figures, what was brought about, and what a person should look at.
 */
import type { DemoOptions } from './options.js';
import type { DemoResult, Tally } from './tally.js';
import { promisesKept, quantile } from './tally.js';

/** What the page is made from. */
export interface ReportInput {
  readonly options: DemoOptions;
  readonly result: DemoResult;
  readonly tally: Tally;
  readonly events: readonly string[];
  /** What callers and processes noted of each remarked request, by its idempotency key. */
  readonly stories: ReadonlyMap<string, readonly string[]>;
}

const SHARES = [0.5, 0.9, 0.95, 0.99] as const;

/** The page as HTML, self-contained. */
export function reportPage(input: ReportInput): string {
  const { options, result, tally, events, stories } = input;
  const title = `cassiamast demo, ${options.deployment}`;
  const verdict = promisesKept(result) ? 'Every promise was kept.' : 'A promise was broken.';
  const run =
    `${String(options.durationS)} s, seed ${String(options.seed)}, ` +
    (options.faults ? 'with faults' : 'without faults');
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>${title}</title><style>${STYLE}</style></head><body>`,
    `<h1>${title}</h1><p>${run}. <strong>${verdict}</strong></p>`,
    '<h2>Figures</h2>',
    table(Object.entries(result).map(([name, value]) => [name, String(value)])),
    '<h2>Latency</h2>',
    table([
      ['share of requests', 'first token, ms', 'between tokens, ms'],
      ...SHARES.map((share) => [
        `${String(share * 100)} in 100`,
        quantile(tally.ttftMs, share).toFixed(1),
        quantile(tally.gapsMs, share).toFixed(1),
      ]),
    ]),
    '<h2>Events</h2>',
    list(events, 'Nothing was brought about.'),
    '<h2>Remarks</h2>',
    list(tally.remarks, 'None.'),
    ...[...stories].map(
      ([key, lines]) => `<h3>${escape(key)}</h3><pre>${escape(lines.join('\n'))}</pre>`,
    ),
    '</body></html>',
  ].join('\n');
}

const STYLE =
  'body{font:16px/1.5 sans-serif;max-width:50rem;margin:2rem auto;padding:0 1rem}' +
  'table{border-collapse:collapse}td{border:1px solid #999;padding:.2rem .6rem}';

function table(rows: readonly (readonly string[])[]): string {
  const cells = (row: readonly string[]): string =>
    row.map((cell) => `<td>${escape(cell)}</td>`).join('');
  return `<table>${rows.map((row) => `<tr>${cells(row)}</tr>`).join('')}</table>`;
}

function list(items: readonly string[], none: string): string {
  if (items.length === 0) return `<p>${none}</p>`;
  return `<ul>${items.map((item) => `<li>${escape(item)}</li>`).join('')}</ul>`;
}

function escape(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;');
}
