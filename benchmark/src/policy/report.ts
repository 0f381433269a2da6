/**
 * One self-contained HTML page: the figures as a table per trace, and plots of goodput and roles
 * over time against the mix. SVG is written directly, since there is no DOM here.
 */
import type { ComparisonRow } from './compare.js';
import { POINT_MS } from './statistics.js';
import type { TimelinePoint } from './statistics.js';
import type { Trace } from './trace.js';

/** A trace with what was played on it. */
export interface ReportedTrace {
  readonly trace: Trace;
  readonly rows: readonly ComparisonRow[];
}

const WIDTH = 860;
const HEIGHT = 180;
const MARGIN = 30;

/** Renders the page. */
export function renderReport(
  seed: number,
  scale: number,
  reported: readonly ReportedTrace[],
): string {
  const title = `Policy benchmark, seed ${String(seed)}, scale ${String(scale)}`;
  const style =
    'body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}' +
    'td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}';
  return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>${title}</title>
<style>${style}</style></head><body><h1>${title}</h1>
${reported.map(renderTrace).join('\n')}
</body></html>
`;
}

function renderTrace({ trace, rows }: ReportedTrace): string {
  const ours = rows.find((row) => row.policy === 'ours');
  const plots = (ours?.timelines ?? []).map((points, index) =>
    renderPlot(trace.services[index]?.service ?? '', points),
  );
  return `<h2>${trace.name}</h2>${renderTable(rows)}${plots.join('')}`;
}

function renderTable(rows: readonly ComparisonRow[]): string {
  const head =
    '<tr><th>policy</th><th>good a second</th><th>bound</th><th>ratio</th><th>changes</th>' +
    '<th>bound’s</th><th>first token p95 ms</th><th>gap p95 ms</th><th>not run</th>' +
    '<th>worst wait</th></tr>';
  const body = rows.map((row) => {
    const cells = [
      row.policy,
      row.goodputPerS.toFixed(2),
      row.boundPerS.toFixed(2),
      row.ratio.toFixed(3),
      row.roleChanges,
      row.boundRoleChanges,
      row.ttftP95Ms,
      row.interTokenP95Ms,
      row.shedNotRun,
      row.worstWorkspaceWaitRatio.toFixed(2),
    ];
    return `<tr>${cells.map((cell) => `<td>${String(cell)}</td>`).join('')}</tr>`;
  });
  return `<table>${head}${body.join('')}</table>`;
}

/** Goodput share, prefill share of the work and readers, of our policy over time. */
function renderPlot(service: string, points: readonly TimelinePoint[]): string {
  const mostReaders = Math.max(1, ...points.map((point) => point.readers));
  const series = [
    line(points, 'green', (point) => point.good / Math.max(1, point.arrived)),
    line(points, 'orange', (point) => point.prefillWorkMs / Math.max(1, point.workMs)),
    line(points, 'blue', (point) => point.readers / mostReaders),
  ];
  const seconds = (points.length * POINT_MS) / 1000;
  return `<p>${service}, ours, over ${String(seconds)} s: <span style="color:green">share answered
within goals</span>, <span style="color:orange">prefill share of the work</span>,
<span style="color:blue">readers (top: ${String(mostReaders)})</span></p>
<svg width="${String(WIDTH)}" height="${String(HEIGHT)}" viewBox="0 0 ${String(WIDTH)} ${String(HEIGHT)}">
<rect x="${String(MARGIN)}" y="5" width="${String(WIDTH - MARGIN - 5)}" height="${String(HEIGHT - 25)}" fill="none" stroke="#bbb"/>
<text x="4" y="14" font-size="10">1</text><text x="4" y="${String(HEIGHT - 22)}" font-size="10">0</text>
${series.join('\n')}</svg>`;
}

function line(
  points: readonly TimelinePoint[],
  colour: string,
  valueOf: (point: TimelinePoint) => number,
): string {
  const spots = points.map((point, index) => {
    const x = MARGIN + (index / Math.max(1, points.length - 1)) * (WIDTH - MARGIN - 5);
    const y = 5 + (1 - Math.min(1, valueOf(point))) * (HEIGHT - 25);
    return `${x.toFixed(1)},${y.toFixed(1)}`;
  });
  return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${spots.join(' ')}"/>`;
}
