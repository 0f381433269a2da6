/** Style sheet of the time line page. */
export const PAGE_STYLE = `
body { font: 14px/1.45 system-ui, sans-serif; margin: 0; color: #1d2733; background: #f4f6f8; }
header { padding: 14px 20px 6px; }
h1 { font-size: 19px; margin: 0; }
#summary { color: #55606c; margin: 2px 0 0; }
#missing { margin: 8px 20px; padding: 8px 12px; border-left: 4px solid #c0392b; background: #fff; }
#missing ul { margin: 2px 0 0; padding-left: 18px; }
.bar { display: flex; flex-wrap: wrap; gap: 6px 14px; align-items: center; padding: 6px 20px; }
.bar input[type=search] { width: 260px; padding: 4px 8px; }
.bar select, .bar button { padding: 4px 8px; }
.bar label { white-space: nowrap; }
.swatch { display: inline-block; width: 10px; height: 10px; border-radius: 5px; margin: 0 4px 0 2px; }
#chart { margin: 4px 20px; background: #fff; border: 1px solid #d5dbe1; overflow: auto; max-height: 62vh; }
canvas { display: block; cursor: crosshair; }
#detail { margin: 8px 20px; padding: 8px 12px; background: #fff; border: 1px solid #d5dbe1; }
#detail b { font-weight: 600; }
table { border-collapse: collapse; margin: 8px 20px 30px; background: #fff; width: calc(100% - 40px); }
th, td { text-align: left; padding: 3px 8px; border-bottom: 1px solid #e6eaee; vertical-align: top; }
th { background: #eef1f4; position: sticky; top: 0; }
td.time, td.process { white-space: nowrap; font-variant-numeric: tabular-nums; }
td a { color: #2f6fbb; cursor: pointer; text-decoration: underline; }
tr.chosen { background: #fff6df; }
`;
