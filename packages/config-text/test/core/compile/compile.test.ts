/** Tests the compilation of valid texts, and the position and explanation of each fault. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { compileText } from '../../../src/core/compile/compile.js';
import {
  MAX_DOCUMENT_BYTES,
  MAX_FAULTS,
  MAX_TEXT_BYTES,
} from '../../../src/core/compile/limits.js';
import type { TextFault } from '../../../src/core/faults/fault.js';
import { KALAHARI_TEXT, kalahariWith, targetSizeText } from '../../fixtures/texts.js';

function faultsOf(text: string): readonly TextFault[] {
  const result = compileText(text);
  return result.isErr() ? result.error : [];
}

/** Formats the faults as `line:column name`. */
function summaries(text: string): string[] {
  return faultsOf(text).map(
    ({ line, column, name }) => `${String(line)}:${String(column)} ${name}`,
  );
}

describe('the operators’ text', () => {
  describe('when valid', () => {
    const configuration = compileText(KALAHARI_TEXT)._unsafeUnwrap();
    const [engines, portal] = configuration.services;

    it('resolves units', () => {
      assert.equal(engines?.deadlineMs, 20 * 60_000);
      assert.equal(engines?.models[0]?.sizeMb, 40_000);
      assert.equal(configuration.limits.answerRetentionMs, 30 * 60_000);
      assert.equal(configuration.workspaces[1]?.maxTokensPerS, 2_000);
    });

    it('fills in defaults', () => {
      assert.equal(portal?.deadlineMs, 10 * 60_000);
      assert.equal(portal?.retryBudgetRatio, 0.1);
      assert.equal(portal?.rolesMayChange, false);
      assert.equal(engines?.rolesMayChange, true);
      assert.equal(configuration.limits.maxBodyBytes, 4_000_000);
    });

    it('keeps three quarters of the serving targets as the default floor', () => {
      assert.equal(engines?.floorTargets, 1);
      assert.equal(portal?.floorTargets, 1);
    });

    it('applies the service’s checksFencing to targets that do not set it', () => {
      assert.deepEqual(
        engines?.targets.map(({ checksFencing }) => checksFencing),
        [true, true, false],
      );
    });

    it('keeps withdrawn targets and non-repeatable calls', () => {
      assert.deepEqual(
        engines?.targets.map(({ withdrawn }) => withdrawn),
        [false, false, true],
      );
      assert.deepEqual(portal?.calls, [
        { pathPrefix: '/findings', repeatable: false },
        { pathPrefix: '/findings/search', repeatable: true },
      ]);
    });

    it('compiles a text of the planned size within the document limit', () => {
      const text = targetSizeText();
      const compiled = compileText(text)._unsafeUnwrap();
      const targets = compiled.services.flatMap((service) => service.targets);
      assert.equal(targets.length, 730);
      assert.ok(JSON.stringify({ text, compiled }).length < MAX_DOCUMENT_BYTES);
    });
  });

  describe('when it has faults', () => {
    /*
     * An operator pastes a service from another deployment with several invalid values. A check
     * that stopped at the first fault would need a separate run for each fault.
     */
    it('reports all faults at once, in the order of the text', () => {
      const replacements: [string, string][] = [
        ['share: 3', 'share: -1'],
        ['priority: 40', 'priorty: 40'],
        ['20 min', '20'],
        ['360 ms', '360 msec'],
        ['failureDomain: eros-hall', 'failureDomain: eros-hal'],
        ['withdrawn: true', 'withdrawn: 7'],
        ['kind: plain-service', 'kind: plane'],
        ['[inspect-llm]', '[inspect-lm]'],
        ['name: portal-2', 'name: portal-1'],
      ];
      const text = replacements.reduce(
        (before, [passage, replacement]) => before.replace(passage, replacement),
        KALAHARI_TEXT,
      );
      assert.deepEqual(summaries(text), [
        '10:12 out-of-range',
        '19:5 unknown-field',
        '20:15 unit-missing',
        '22:26 wrong-unit',
        '34:26 unknown-name',
        '43:20 wrong-type',
        '46:11 malformed-value',
        '47:17 unknown-name',
        '61:17 duplicate',
      ]);
    });

    it('suggests the nearest known field and name', () => {
      assert.match(
        faultsOf(kalahariWith('priority: 40', 'priorty: 40'))[0]?.message ?? '',
        /"priority"/,
      );
      assert.match(
        faultsOf(kalahariWith('[inspect-llm]', '[inspect-lm]'))[0]?.message ?? '',
        /"inspect-llm"/,
      );
    });

    it('gives each fault a title, message and hint', () => {
      for (const fault of faultsOf(kalahariWith('360 ms', '360'))) {
        assert.ok(fault.title !== '' && fault.message !== '' && fault.hint !== '');
      }
    });

    const singleFaults: [string, string, string, string][] = [
      ['a missing unit', 'deadline: 20 min', 'deadline: 20', '20:15 unit-missing'],
      ['a unit of another dimension', 'size: 40 GB', 'size: 40 s', '24:78 wrong-unit'],
      ['a duplicate name', 'name: lessor-portal', 'name: ramp', '12:11 duplicate'],
      ['a duplicate field', 'priority: 40', 'kind: model-engine', '19:5 duplicate'],
      ['a duplicate address', '10.3.0.11:8000', '10.2.0.11:8000', '41:18 duplicate'],
      [
        'a host name instead of an IP address',
        '10.3.0.11:7000',
        'eros.example:7000',
        '40:18 malformed-value',
      ],
      ['a port out of range', '10.3.0.11:7000', '10.3.0.11:70000', '40:18 malformed-value'],
      ['a missing field', `version: '2026-11', `, '', '24:9 missing-field'],
      [
        'a service that depends on itself',
        '[inspect-llm]',
        '[ramp-portal]',
        '47:5 dependency-cycle',
      ],
      [
        'a floor above the serving targets',
        'floor: 1 targets',
        'floor: 3 targets',
        '49:12 floor-too-high',
      ],
      [
        'a field that does not apply to the kind of service',
        'floor: 1 targets',
        'rolesMayChange: true',
        '49:5 does-not-apply',
      ],
    ];
    for (const [what, passage, replacement, expected] of singleFaults) {
      it(`finds ${what}`, () => {
        assert.deepEqual(summaries(kalahariWith(passage, replacement)), [expected]);
      });
    }

    it('finds model engine services without a model', () => {
      const line = KALAHARI_TEXT.split('\n').find((each) => each.includes('inspect-34b')) ?? '';
      const text = kalahariWith(`    models:\n${line}`, '    models: []\n');
      assert.deepEqual(summaries(text), ['23:5 too-few']);
    });

    it('does not quote an API key that was pasted instead of its digest', () => {
      const text = kalahariWith('6f1ed002', 'sk-secret');
      assert.deepEqual(summaries(text), ['11:20 malformed-value']);
      assert.doesNotMatch(JSON.stringify(faultsOf(text)), /sk-secret/);
    });

    it('names all services of a dependency cycle', () => {
      const text = kalahariWith('priority: 40', 'dependsOn: [ramp-portal]');
      assert.deepEqual(summaries(text), ['19:5 dependency-cycle']);
      assert.match(faultsOf(text)[0]?.message ?? '', /inspect-llm → ramp-portal → inspect-llm/);
    });
  });

  describe('when it exceeds a limit or is malicious', () => {
    it('rejects a text over the size limit before parsing it', () => {
      assert.deepEqual(summaries('#'.repeat(MAX_TEXT_BYTES + 1)), ['1:1 text-too-large']);
    });

    it('rejects a document over the size limit', () => {
      const text = `${KALAHARI_TEXT}#${'x'.repeat(MAX_TEXT_BYTES - KALAHARI_TEXT.length - 10)}`;
      assert.deepEqual(summaries(text), ['1:1 document-too-large']);
    });

    /*
     * A text of a few lines doubles an alias thirty times. Expanding it takes gigabytes and would
     * crash the command line or the members, so aliases are rejected without being expanded.
     */
    it('rejects alias bombs', () => {
      const lines = ['a0: &a0 [x, x]'];
      for (let level = 1; level <= 30; level += 1) {
        const below = `*a${String(level - 1)}`;
        lines.push(`a${String(level)}: &a${String(level)} [${below}, ${below}]`);
      }
      const names = new Set(faultsOf(lines.join('\n')).map(({ name }) => name));
      assert.deepEqual([...names], ['alias-used']);
    });

    it('rejects nesting that would overflow the parser’s stack', () => {
      for (const unit of ['[', '{a: ', '- ', '? ']) {
        assert.deepEqual(
          faultsOf(unit.repeat(200_000)).map(({ name }) => name),
          ['nested-too-deep'],
        );
      }
    });

    it('rejects a text with more tokens than the limit', () => {
      assert.deepEqual(
        faultsOf('a:\n'.repeat(150_000)).map(({ name }) => name),
        ['too-many-tokens'],
      );
    });

    it('limits the number of reported faults and counts the rest', () => {
      const keys = Array.from({ length: 1_000 }, (_, index) => `k${String(index)}: 1`).join('\n');
      const faults = faultsOf(keys);
      assert.equal(faults.length, MAX_FAULTS);
      assert.match(faults.at(-1)?.message ?? '', /^804 more faults/);
    });

    it('rejects more targets and workspaces than the limits allow', () => {
      const names = new Set(faultsOf(targetSizeText(3_000, 2_500)).map(({ name }) => name));
      assert.deepEqual([...names], ['too-many']);
    });

    it('keeps control characters out of messages', () => {
      assert.doesNotMatch(faultsOf('"\\e[2Jx": 1')[0]?.message ?? '', /\p{Cc}/u);
    });
  });
});
