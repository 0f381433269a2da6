/**
 * Writes the time line as a self-contained HTML page with a lane per process, a row and colour per
 * event category, filters, zoom and a list of events. The page loads no external resources.
 */
import { missingFrom, type Timeline } from '../timeline.js';
import { CATEGORY_OF, CATEGORY_STYLES } from './category.js';
import { PAGE_SCRIPT } from './script.js';
import { PAGE_STYLE } from './style.js';

/** Blocks all external resources and scripts, even if an unescaped value ends up in the markup. */
const CONTENT_POLICY = "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'";

/** Escapes a text for use between tags and in quoted attributes. */
function escapeHtml(text: string): string {
  const replacements: Readonly<Record<string, string>> = {
    '&': '&amp;',
    '<': '&lt;',
    '>': '&gt;',
    '"': '&quot;',
    "'": '&#39;',
  };
  return text.replace(/[&<>"']/g, (character) => replacements[character] ?? character);
}

/**
 * Serializes a value for a script element. Escapes `<` so that `</script>` in a value does not end
 * it.
 */
function embeddedJson(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', String.raw`\u003c`);
}

function missingSection(timeline: Timeline): string {
  const notes = missingFrom(timeline);
  if (notes.length === 0) return '';
  const items = notes.map((note) => `<li>${escapeHtml(note)}</li>`).join('');
  return `<section id="missing"><b>Not on this page</b><ul>${items}</ul></section>`;
}

function categoryBoxes(): string {
  return Object.entries(CATEGORY_STYLES)
    .map(([category, { label, colour }]) => {
      const box = `<input type="checkbox" data-category="${category}" checked>`;
      return `<label>${box}<span class="swatch" style="background:${colour}"></span>${label}</label>`;
    })
    .join('');
}

function selects(): string {
  const names = ['service', 'target', 'workspace', 'kind'];
  return names
    .map((name) => `<select id="${name}"><option value="">any ${name}</option></select>`)
    .join('');
}

function summary({ events, lanes }: Timeline): string {
  const first = events[0];
  const last = events.at(-1);
  const counts = `${String(events.length)} events of ${String(lanes.length)} processes`;
  if (first === undefined || last === undefined) return counts;
  const from = new Date(first.at.wallMs).toISOString();
  const seconds = ((last.at.wallMs - first.at.wallMs) / 1_000).toFixed(1);
  return `${counts}, ${seconds} s from ${from}`;
}

/** Returns the HTML of the page. */
export function timelinePage(timeline: Timeline): string {
  const data = {
    events: timeline.events,
    lanes: timeline.lanes,
    categories: CATEGORY_STYLES,
    categoryOf: CATEGORY_OF,
  };
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="${CONTENT_POLICY}">
<title>cassiamast time line</title>
<style>${PAGE_STYLE}</style>
</head>
<body>
<header><h1>cassiamast time line</h1><p id="summary">${escapeHtml(summary(timeline))}</p></header>
${missingSection(timeline)}
<div class="bar">
<input id="search" type="search" placeholder="request key or any words">
${selects()}
<button id="in">Zoom in</button><button id="out">Zoom out</button><button id="all">All</button>
<span>drag to move, shift + wheel to zoom, click for details</span>
</div>
<div class="bar">${categoryBoxes()}<span id="count"></span></div>
<div id="chart"><canvas></canvas></div>
<div id="detail">Click an event for its details; the line then follows its request.</div>
<table><thead><tr><th>time, UTC</th><th>process</th><th>event</th><th>about</th><th>why</th></tr></thead>
<tbody id="list"></tbody></table>
<script type="application/json" id="data">${embeddedJson(data)}</script>
<script>${PAGE_SCRIPT}</script>
</body>
</html>
`;
}
