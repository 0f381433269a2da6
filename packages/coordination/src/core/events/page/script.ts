/**
 * Script of the time line page, which implements the filters, the zoom, the lanes on a canvas and
 * the list of events. It is embedded as text because the page must be self-contained. All values
 * from the data are inserted as text, never as markup.
 */
export const PAGE_SCRIPT = String.raw`
'use strict';
const data = JSON.parse(document.getElementById('data').textContent);
const LABEL_WIDTH = 250, AXIS_HEIGHT = 26, ROW_HEIGHT = 8, LANE_PADDING = 5, MAX_LISTED = 500;
const categories = Object.keys(data.categories);
const laneHeight = categories.length * ROW_HEIGHT + 2 * LANE_PADDING;
const laneOf = new Map(data.lanes.map((lane, index) => [lane.memberId, index]));
const events = data.events.map((event, index) => ({
  ...event, index, category: data.categoryOf[event.kind], time: event.at.wallMs,
  key: keyOf(event.request), lane: laneOf.get(event.process) ?? 0,
  text: JSON.stringify(event).toLowerCase(),
}));
const whole = [
  events.reduce((least, event) => Math.min(least, event.time), Infinity),
  events.reduce((most, event) => Math.max(most, event.time), -Infinity),
];
if (events.length === 0) whole.splice(0, 2, 0, 1);
const pad = Math.max(5, (whole[1] - whole[0]) * 0.02);
let view = [whole[0] - pad, whole[1] + pad];
let chosen = null;
const shown = new Set(categories);
const canvas = document.querySelector('canvas');
const get = (id) => document.getElementById(id);

function keyOf(request) {
  if (request === undefined) return '';
  try { const parsed = JSON.parse(request); return Array.isArray(parsed) ? String(parsed[1]) : request; }
  catch { return request; }
}
function clock(ms) { return new Date(ms).toISOString().slice(11, 23); }
function matching() {
  const words = get('search').value.toLowerCase().split(/\s+/).filter(Boolean);
  const fields = ['service', 'workspace', 'target', 'kind'].map((name) => [name, get(name).value]);
  return events.filter((event) => shown.has(event.category) &&
    fields.every(([name, value]) => value === '' || event[name] === value) &&
    words.every((word) => event.text.includes(word) || event.key.toLowerCase() === word));
}
function xOf(time, width) {
  return LABEL_WIDTH + (time - view[0]) / (view[1] - view[0]) * (width - LABEL_WIDTH);
}
function yOf(event) {
  const row = categories.indexOf(event.category);
  return AXIS_HEIGHT + event.lane * laneHeight + LANE_PADDING + (row + 0.5) * ROW_HEIGHT;
}
function drawLanes(context, width, height) {
  data.lanes.forEach((lane, index) => {
    const top = AXIS_HEIGHT + index * laneHeight;
    context.fillStyle = index % 2 === 0 ? '#ffffff' : '#f6f8fa';
    context.fillRect(0, top, width, laneHeight);
    context.fillStyle = '#1d2733';
    context.font = '600 12px system-ui, sans-serif';
    context.fillText((lane.target || lane.kind) + ' ' + lane.memberId, 10, top + 20);
    context.fillStyle = '#6b7683';
    context.font = '11px system-ui, sans-serif';
    context.fillText(lane.failureDomain + ' · ' + lane.events + ' events' +
      (lane.dropped > 0 ? ' · ' + lane.dropped + ' lost' : ''), 10, top + 35);
  });
  context.fillStyle = '#d5dbe1';
  context.fillRect(LABEL_WIDTH - 1, 0, 1, height);
}
function drawAxis(context, width, height) {
  const span = view[1] - view[0];
  const raw = span / Math.max(2, (width - LABEL_WIDTH) / 130);
  const power = 10 ** Math.floor(Math.log10(raw));
  const step = [1, 2, 5, 10].map((factor) => factor * power).find((size) => size >= raw);
  context.font = '11px system-ui, sans-serif';
  for (let time = Math.ceil(view[0] / step) * step; time <= view[1]; time += step) {
    const x = xOf(time, width);
    context.fillStyle = '#e6eaee';
    context.fillRect(x, AXIS_HEIGHT, 1, height);
    context.fillStyle = '#55606c';
    context.fillText(clock(time), x + 3, 17);
  }
}
function drawStory(context, width, list) {
  if (chosen === null || chosen.key === '') return;
  const story = list.filter((event) => event.request === chosen.request);
  context.strokeStyle = '#1d2733';
  context.lineWidth = 1;
  context.beginPath();
  story.forEach((event, index) => {
    const point = [xOf(event.time, width), yOf(event)];
    if (index === 0) context.moveTo(...point); else context.lineTo(...point);
  });
  context.stroke();
}
function draw() {
  const list = matching();
  const width = Math.max(700, get('chart').clientWidth);
  const height = AXIS_HEIGHT + data.lanes.length * laneHeight;
  const ratio = height * devicePixelRatio > 32000 ? 1 : devicePixelRatio;
  canvas.width = width * ratio; canvas.height = height * ratio;
  canvas.style.width = width + 'px'; canvas.style.height = height + 'px';
  const context = canvas.getContext('2d');
  context.scale(ratio, ratio);
  drawLanes(context, width, height);
  drawAxis(context, width, height);
  context.save();
  context.beginPath(); context.rect(LABEL_WIDTH, 0, width, height); context.clip();
  drawStory(context, width, list);
  for (const event of list) {
    if (event.time < view[0] || event.time > view[1]) continue;
    context.fillStyle = data.categories[event.category].colour;
    context.beginPath();
    context.arc(xOf(event.time, width), yOf(event), event === chosen ? 6 : 3.2, 0, 7);
    context.fill();
  }
  context.restore();
  listEvents(list);
}
function cell(row, name, text) {
  const element = row.insertCell();
  element.className = name; element.textContent = text;
  return element;
}
function listEvents(list) {
  const inView = list.filter((event) => event.time >= view[0] && event.time <= view[1]);
  get('count').textContent = inView.length + ' of ' + events.length + ' events in view' +
    (inView.length > MAX_LISTED ? '; the first ' + MAX_LISTED + ' are listed' : '');
  const body = get('list'); body.replaceChildren();
  for (const event of inView.slice(0, MAX_LISTED)) {
    const row = body.insertRow();
    if (event === chosen) row.className = 'chosen';
    row.onclick = () => choose(event);
    cell(row, 'time', clock(event.time));
    cell(row, 'process', event.process);
    const kind = cell(row, 'kind', event.kind);
    kind.style.color = data.categories[event.category].colour;
    const subject = cell(row, 'subject', '');
    if (event.key !== '') {
      const link = document.createElement('a');
      link.textContent = event.key;
      link.onclick = (click) => { click.stopPropagation(); get('search').value = event.key; draw(); };
      subject.append(link);
    }
    const rest = [event.service, event.target, event.workspace].filter(Boolean).join(' · ');
    subject.append((event.key !== '' && rest !== '' ? ' · ' : '') + rest);
    const figures = Object.entries(event.figures ?? {}).map(([name, value]) => name + '=' + value);
    cell(row, 'reason', [event.reason, figures.join(' ')].filter(Boolean).join(' — '));
  }
}
function choose(event) {
  chosen = event;
  const parts = [['at', clock(event.time) + ' UTC, counter ' + event.at.counter], ['process', event.process],
    ['kind', event.kind], ['request', event.request], ['workspace', event.workspace],
    ['service', event.service], ['target', event.target], ['reason', event.reason],
    ['figures', event.figures && JSON.stringify(event.figures)]];
  get('detail').replaceChildren(...parts.filter(([, value]) => value).flatMap(([name, value]) => {
    const label = document.createElement('b'); label.textContent = name + ': ';
    return [label, value + '   '];
  }));
  draw();
}
function zoom(factor, around) {
  const centre = around ?? (view[0] + view[1]) / 2;
  view = view.map((edge) => centre + (edge - centre) * factor);
  draw();
}
function timeAt(mouse) {
  const box = canvas.getBoundingClientRect();
  return view[0] + (mouse.clientX - box.left - LABEL_WIDTH) / (box.width - LABEL_WIDTH) * (view[1] - view[0]);
}
function nearest(mouse) {
  const box = canvas.getBoundingClientRect();
  const [x, y] = [mouse.clientX - box.left, mouse.clientY - box.top];
  let best = null, bestDistance = 12;
  for (const event of matching()) {
    const distance = Math.hypot(xOf(event.time, box.width) - x, yOf(event) - y);
    if (distance < bestDistance) { best = event; bestDistance = distance; }
  }
  return best;
}
function fillSelect(name) {
  const values = [...new Set(events.map((event) => event[name]).filter(Boolean))].sort();
  for (const value of values) get(name).append(new Option(value, value));
  get(name).onchange = draw;
}
['service', 'workspace', 'target', 'kind'].forEach(fillSelect);
for (const box of document.querySelectorAll('input[data-category]')) {
  box.onchange = () => {
    if (box.checked) shown.add(box.dataset.category); else shown.delete(box.dataset.category);
    draw();
  };
}
get('search').oninput = draw;
get('in').onclick = () => zoom(0.5);
get('out').onclick = () => zoom(2);
get('all').onclick = () => { view = [whole[0] - pad, whole[1] + pad]; draw(); };
canvas.onwheel = (wheel) => {
  if (!wheel.ctrlKey && !wheel.shiftKey) return;
  wheel.preventDefault(); zoom(wheel.deltaY > 0 ? 1.25 : 0.8, timeAt(wheel));
};
let drag = null;
canvas.onmousedown = (mouse) => { drag = { x: mouse.clientX, view: [...view], moved: false }; };
window.onmousemove = (mouse) => {
  if (drag === null) return;
  const shift = (mouse.clientX - drag.x) / (canvas.clientWidth - LABEL_WIDTH) * (view[1] - view[0]);
  if (Math.abs(mouse.clientX - drag.x) > 3) drag.moved = true;
  view = drag.view.map((edge) => edge - shift);
  draw();
};
window.onmouseup = (mouse) => {
  if (drag !== null && !drag.moved && mouse.target === canvas) {
    const event = nearest(mouse);
    if (event !== null) choose(event);
  }
  drag = null;
};
window.onresize = draw;
draw();
`;
