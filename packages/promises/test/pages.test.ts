/** Tests that every relative link in the documentation resolves and that each folder's index is complete. */
import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const DOCS = join(ROOT, 'docs');

function pagesIn(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return pagesIn(path);
    return entry.name.endsWith('.md') ? [path] : [];
  });
}

function relativeLinks(page: string): string[] {
  const text = readFileSync(page, 'utf8');
  return [...text.matchAll(/\]\(([^)#\s]+)[^)]*\)/g)]
    .map((match) => match[1] ?? '')
    .filter((link) => !/^[a-z]+:/.test(link));
}

const PAGES = [
  ...['README.md', 'CONTRIBUTING.md', 'CHANGELOG.md'].map((name) => join(ROOT, name)),
  ...pagesIn(DOCS),
];

describe('the pages', () => {
  for (const page of PAGES) {
    it(`${page.slice(ROOT.length)} links only to existing files`, () => {
      const broken = relativeLinks(page).filter((link) => !existsSync(join(dirname(page), link)));
      assert.deepEqual(broken, []);
    });
  }

  for (const folder of ['operators', 'design']) {
    it(`docs/${folder}/README.md lists every page of its folder`, () => {
      const index = join(DOCS, folder, 'README.md');
      const listed = new Set(relativeLinks(index));
      const pages = readdirSync(join(DOCS, folder)).filter((name) => name !== 'README.md');
      assert.deepEqual(
        pages.filter((name) => !listed.has(name)),
        [],
      );
    });
  }

  it('of the developers state the target size in full', () => {
    const text = readFileSync(join(ROOT, 'CONTRIBUTING.md'), 'utf8');
    const figures = [
      '410',
      '730',
      '5,900',
      '6,100',
      '2.3 million',
      '0.36 s',
      '80 ms',
      '27%',
      '610 GB',
    ];
    const more = ['960', '650', '9 s', '3.4%', '32 MB', '4 KB', '130', 'rack or switch', 'an hour'];
    for (const figure of [...figures, ...more]) assert.ok(text.includes(figure), figure);
    assert.ok(text.includes('Let this size decide the design'));
  });
});
