/**
 * Tests that compiling an arbitrary text never throws, and that each fault lies within the text.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { compileText } from '../../../src/core/compile/compile.js';
import { KALAHARI_TEXT } from '../../fixtures/texts.js';

const SEED = 20_261_202;
const RUNS = 400;

/**
 * Compiles a text and checks that its faults have a message, a hint and a position within the text.
 */
function assertFaultsInText(text: string): void {
  const result = compileText(text);
  if (result.isOk()) return;
  const lines = text.split(/\r\n|\r|\n/);
  assert.ok(result.error.length > 0);
  for (const { line, column, message, hint } of result.error) {
    assert.ok(line >= 1 && line <= lines.length + 1, `line ${String(line)}`);
    assert.ok(column >= 1);
    assert.ok(message !== '' && hint !== '');
  }
}

/** Inserts, removes or replaces random parts of the valid text. */
const mutatedText = fc
  .array(
    fc.record({
      at: fc.nat(KALAHARI_TEXT.length - 1),
      length: fc.nat(40),
      insert: fc.oneof(
        fc.constantFrom(
          '[',
          ']',
          '{',
          '}',
          ':',
          '- ',
          '&a ',
          '*a',
          '!!x ',
          '|',
          '>',
          '"',
          '\t',
          '\0',
          '---\n',
          '%',
          '? ',
        ),
        fc.string({ maxLength: 8 }),
      ),
    }),
    { minLength: 1, maxLength: 6 },
  )
  .map((edits) =>
    edits.reduce(
      (text, { at, length, insert }) => text.slice(0, at) + insert + text.slice(at + length),
      KALAHARI_TEXT,
    ),
  );

/** Well-formed YAML with known fields and arbitrary values. */
const textWithKnownFields = fc.record(
  {
    failureDomains: fc.anything(),
    limits: fc.anything(),
    workspaces: fc.array(fc.record({ name: fc.anything(), share: fc.anything() })),
    services: fc.array(
      fc.record(
        {
          name: fc.anything(),
          kind: fc.anything(),
          dependsOn: fc.anything(),
          targets: fc.oneof(fc.anything(), fc.array(fc.object())),
          goals: fc.anything(),
          deadline: fc.anything(),
        },
        { requiredKeys: [] },
      ),
    ),
  },
  { requiredKeys: [] },
);

describe('checking any text', () => {
  it('returns for arbitrary characters', () => {
    fc.assert(fc.property(fc.string({ unit: 'binary', maxLength: 300 }), assertFaultsInText), {
      seed: SEED,
      numRuns: RUNS,
    });
  });

  it('returns for a valid text with random edits', () => {
    fc.assert(fc.property(mutatedText, assertFaultsInText), { seed: SEED, numRuns: RUNS });
  });

  it('returns for known fields with arbitrary values', () => {
    const text = textWithKnownFields.map((data) => JSON.stringify(data));
    fc.assert(fc.property(text, assertFaultsInText), { seed: SEED, numRuns: RUNS });
  });

  it('ignores comments and different line endings', () => {
    const first = compileText(KALAHARI_TEXT)._unsafeUnwrap();
    const commented = KALAHARI_TEXT.replaceAll('\n', ' # note\r\n');
    assert.deepEqual(compileText(commented)._unsafeUnwrap(), first);
  });
});
