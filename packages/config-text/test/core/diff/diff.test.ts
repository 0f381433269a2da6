/** Tests the differences that are reported for an edit. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { compileText } from '../../../src/core/compile/compile.js';
import { diffConfigurations } from '../../../src/core/diff/diff.js';
import { differenceText } from '../../../src/core/diff/difference.js';
import { KALAHARI_TEXT, kalahariWith } from '../../fixtures/texts.js';

function textDiff(before: string, after: string): string[] {
  const [a, b] = [compileText(before)._unsafeUnwrap(), compileText(after)._unsafeUnwrap()];
  return diffConfigurations(a, b).map(differenceText);
}

/** The last target of the text, from its list marker to the end. */
const PORTAL_2 = KALAHARI_TEXT.slice(KALAHARI_TEXT.lastIndexOf('      - {'));

describe('the difference of two texts', () => {
  it('is empty when only comments and order change', () => {
    const reordered = kalahariWith(
      '[hosea-kutako, eros-hall, prosperita]',
      '[prosperita, eros-hall, hosea-kutako] # sorted',
    );
    assert.deepEqual(textDiff(KALAHARI_TEXT, reordered), []);
  });

  it('reports withdrawal and return of a target as separate kinds of change', () => {
    const returned = kalahariWith('withdrawn: true', 'withdrawn: false');
    assert.deepEqual(
      textDiff(KALAHARI_TEXT, returned),
      [
        'target inspect-3 of inspect-llm: returned',
        'service inspect-llm: floor 1 targets → 2 targets',
      ].sort((a, b) => a.localeCompare(b)),
    );
    assert.ok(
      textDiff(returned, KALAHARI_TEXT).includes('target inspect-3 of inspect-llm: withdrawn'),
    );
  });

  it('reports added and removed targets', () => {
    const without = kalahariWith(PORTAL_2, '');
    assert.deepEqual(textDiff(KALAHARI_TEXT, without), ['target portal-2 of ramp-portal: removed']);
    assert.deepEqual(textDiff(without, KALAHARI_TEXT), ['target portal-2 of ramp-portal: added']);
  });

  const changes: [string, string, string][] = [
    ['deadline: 20 min', 'deadline: 90 s', 'service inspect-llm: deadline 20 min → 90 s'],
    [
      `version: '2026-11'`,
      `version: '2026-12'`,
      'model inspect-34b of inspect-llm: version 2026-11 → 2026-12',
    ],
    [
      'repeatable: true',
      'repeatable: false',
      'call /findings/search of ramp-portal: repeatable true → false',
    ],
    ['share: 3', 'share: 4', 'workspace ramp: share 3 → 4'],
    ['200000 tokens', '100000 tokens', 'limits: maxPrompt 200000 tokens → 100000 tokens'],
    [
      '10.3.0.11:8000',
      '10.3.0.12:8000',
      'target inspect-3 of inspect-llm: backend 10.3.0.11:8000 → 10.3.0.12:8000',
    ],
    [
      'maxTokens: 2000 tokens/s',
      'share: 1',
      'workspace lessor-portal: maxTokens 2000 tokens/s → none',
    ],
  ];
  for (const [passage, replacement, expected] of changes) {
    it(`reports "${expected}"`, () => {
      assert.deepEqual(textDiff(KALAHARI_TEXT, kalahariWith(passage, replacement)), [expected]);
    });
  }
});
