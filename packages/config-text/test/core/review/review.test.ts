/** Tests of the review: each rule with a text that has the contradiction and one that just has not. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MAX_FAULTS } from '../../../src/core/compile/limits.js';
import { FindingKind } from '../../../src/core/review/finding.js';
import { reviewText } from '../../../src/core/review/review.js';
import { KALAHARI_TEXT, kalahariWith } from '../../fixtures/texts.js';

/** Passages of the fixture, each with its replacement. */
type Edits = readonly (readonly [passage: string, replacement: string])[];

interface RuleCase {
  readonly kind: FindingKind;
  /** The failure that the rule guards against. */
  readonly guards: string;
  /** Edits with the contradiction, and where it is reported. */
  readonly found: Edits;
  readonly path: string;
  /** The nearest edits without it. */
  readonly notFound: Edits;
}

function findingsOf(edits: Edits) {
  const text = edits.reduce((edited, [passage, replacement]) => {
    kalahariWith(passage, replacement);
    return edited.replace(passage, () => replacement);
  }, KALAHARI_TEXT);
  return reviewText(text)._unsafeUnwrap().findings;
}

function engineService(name: string, models: string): string {
  const address = `${name}, failureDomain: eros-hall`;
  const ports = `sidecar: '10.9.0.${name}:7000', backend: '10.9.0.${name}:8000'`;
  return `  - { name: llm-${name}, kind: model-engine, models: [${models}], targets: [{ name: t${address}, ${ports} }] }\n`;
}

const SECOND_MODEL = "name: inspect-34b, version: '1', size: 1 GB, adapters:";
const PORTAL = '  - name: ramp-portal\n';
const BACKEND_1 = "backend: '10.1.0.11:8000',";
const BACKEND_2 = "backend: '10.2.0.11:8000',";

const CASES: readonly RuleCase[] = [
  {
    kind: FindingKind.ModelNotCallable,
    guards: 'an entry reads "inspect:34b" as the adapter "34b" of "inspect" and answers 404',
    found: [['name: inspect-34b', "name: 'inspect:34b'"]],
    path: 'services[0].models[0].name',
    notFound: [['name: inspect-34b', "name: 'inspect/34b'"]],
  },
  {
    kind: FindingKind.ModelShadowed,
    guards: 'the engines of the second service stay idle',
    found: [[PORTAL, engineService('1', `{ ${SECOND_MODEL} [findings] }`) + PORTAL]],
    path: 'services[1].models[0].name',
    notFound: [[PORTAL, engineService('1', `{ ${SECOND_MODEL} [other] }`) + PORTAL]],
  },
  {
    kind: FindingKind.DependencyWithdrawn,
    guards: 'all requests of the portal are refused while its own targets serve',
    found: [
      ['priority: 40', 'priority: 40\n    floor: 0 targets'],
      [BACKEND_1, `${BACKEND_1} withdrawn: true`],
      [BACKEND_2, `${BACKEND_2} withdrawn: true`],
    ],
    path: 'services[1].dependsOn[0]',
    notFound: [
      ['priority: 40', 'priority: 40\n    floor: 0 targets'],
      [BACKEND_1, `${BACKEND_1} withdrawn: true`],
    ],
  },
  {
    kind: FindingKind.WithdrawnBelowFloor,
    guards: 'the default floor shrinks with each withdrawal, so that nothing limits them',
    found: [[BACKEND_2, `${BACKEND_2} withdrawn: true`]],
    path: 'services[0].targets[1].withdrawn',
    notFound: [
      [BACKEND_2, `${BACKEND_2} withdrawn: true`],
      ['priority: 40', 'priority: 40\n    floor: 1 targets\n    rolesMayChange: false'],
    ],
  },
  {
    kind: FindingKind.FloorStopsRoleChanges,
    guards: 'engines keep their roles whatever the mix is',
    found: [['priority: 40', 'priority: 40\n    floor: 2 targets']],
    path: 'services[0].floor',
    notFound: [['priority: 40', 'priority: 40\n    floor: 1 targets']],
  },
  {
    kind: FindingKind.GoalBeyondDeadline,
    guards: 'each answered request counts as goodput, however late its first token',
    found: [['deadline: 20 min', 'deadline: 359 ms']],
    path: 'services[0].goals.firstToken',
    notFound: [['deadline: 20 min', 'deadline: 360 ms']],
  },
  {
    // 5 % of 379 ms is less than the smallest reserve of 20 ms.
    kind: FindingKind.DependencyGoalBeyondDeadline,
    guards: 'inner calls are cut off before the dependency is due to answer',
    found: [['priority: 80', 'priority: 80\n    deadline: 379 ms']],
    path: 'services[1].dependsOn[0]',
    notFound: [['priority: 80', 'priority: 80\n    deadline: 380 ms']],
  },
  {
    kind: FindingKind.RetentionBelowDeadline,
    guards: 'a caller that returns within its deadline finds its answer gone',
    found: [['answerRetention: 30 min', 'answerRetention: 19 min']],
    path: 'limits.answerRetention',
    notFound: [['answerRetention: 30 min', 'answerRetention: 20 min']],
  },
  {
    kind: FindingKind.NoRetries,
    guards: 'the loss of a target fails its requests',
    found: [['priority: 40', 'priority: 40\n    retryBudget: 0 %']],
    path: 'services[0].retryBudget',
    notFound: [['priority: 40', 'priority: 40\n    retryBudget: 0.1 %']],
  },
];

describe('reviewText', () => {
  it('finds nothing in the fixture', () => {
    assert.deepEqual(findingsOf([]), []);
  });

  for (const { kind, guards, found, path, notFound } of CASES) {
    describe(kind, () => {
      it(`finds the contradiction: ${guards}`, () => {
        const findings = findingsOf(found);
        assert.deepEqual(
          findings.map((finding) => [finding.name, finding.path]),
          [[kind, path]],
        );
      });

      it('accepts the nearest text without it', () => {
        assert.deepEqual(findingsOf(notFound), []);
      });
    });
  }

  it('has a case for each rule', () => {
    const kinds = [...CASES.map(({ kind }) => kind), FindingKind.MoreFindings];
    assert.deepEqual(new Set(kinds), new Set(Object.values(FindingKind)));
  });

  it('reports line and column, and those of the deadline if the goal is not in the text', () => {
    const [finding] = findingsOf([['priority: 80', 'priority: 80\n    deadline: 300 ms']]).filter(
      ({ name }) => name === FindingKind.GoalBeyondDeadline,
    );
    const lines = kalahariWith('priority: 80', 'priority: 80\n    deadline: 300 ms').split('\n');
    assert.equal(finding?.line, lines.indexOf('    deadline: 300 ms') + 1);
    assert.equal(finding.column, '    deadline: '.length + 1);
  });

  /* Guards against a text whose warnings fill the memory or the screen. */
  it('states how many findings are omitted', () => {
    const models = Array.from(
      { length: 32 },
      (_, index) => `{ name: m${String(index)}, version: '1', size: 1 GB }`,
    );
    const services = Array.from({ length: 8 }, (_, index) =>
      engineService(String(index + 1), models.join(', ')),
    );
    const findings = findingsOf([[PORTAL, services.join('') + PORTAL]]);
    assert.equal(findings.length, MAX_FAULTS);
    assert.equal(findings.at(-1)?.name, FindingKind.MoreFindings);
    assert.deepEqual(findings.at(-1)?.data, { omitted: 7 * models.length - MAX_FAULTS + 1 });
  });
});
