/** Tests that docs/API.md lists every export with the first sentence of its doc comment. */
import assert from 'node:assert/strict';
import { readFileSync, rmSync, writeFileSync } from 'node:fs';
import { describe, it, mock } from 'node:test';

interface ListedExport {
  readonly name: string;
  readonly kind: string;
  readonly sentence: string;
}
interface ApiPageScript {
  readonly readExports: () => readonly ListedExport[];
}

const SCRIPT = new URL('../../../../scripts/api-page.mjs', import.meta.url);
const PAGE = new URL('../../../../docs/API.md', import.meta.url);
const REMEDY = 'run: node scripts/api-page.mjs';

describe('the API page', async () => {
  const { readExports } = (await import(SCRIPT.href)) as ApiPageScript;
  const exports = readExports();
  const lines = readFileSync(PAGE, 'utf8').split('\n');

  it('is checked against every export of the library', async () => {
    const library: object = await import('../src/index.js');
    const names = new Set(exports.map(({ name }) => name));
    for (const name of Object.keys(library)) assert.ok(names.has(name), name);
    assert.ok(exports.some(({ kind }) => kind === 'interface'));
  });

  it('lists every export once, with the first sentence of its doc comment', () => {
    for (const { name, kind, sentence } of exports) {
      const matchingLines = lines.filter((line) => line.startsWith(`- \`${name}\` (`));
      assert.deepEqual(matchingLines, [`- \`${name}\` (${kind}): ${sentence}`], REMEDY);
    }
  });

  it('lists nothing that is not exported', () => {
    const listed = lines.filter((line) => /^- `\w+` \(/.test(line));
    assert.equal(listed.length, exports.length, REMEDY);
  });

  it('contains a program that runs unchanged and prints the output shown', async () => {
    const program = /```js\n(.*?)```/s.exec(lines.join('\n'))?.[1] ?? '';
    const file = new URL(`./embedding-${String(process.pid)}.mjs`, import.meta.url);
    writeFileSync(file, program);
    const log = mock.method(console, 'log', () => undefined);
    try {
      await import(file.href);
    } finally {
      log.mock.restore();
      rmSync(file);
    }
    const printed = log.mock.calls.map((call) => call.arguments[0] as unknown);
    assert.deepEqual(printed, [{ ready: false, cause: 'dependency', service: 'model' }]);
    assert.match(program, /\/\/ \{ ready: false, cause: 'dependency', service: 'model' \}/);
  });

  it('finds a doc comment for every export', () => {
    const undocumented = exports.filter(({ sentence }) => sentence === '').map(({ name }) => name);
    assert.deepEqual(undocumented, []);
  });
});
