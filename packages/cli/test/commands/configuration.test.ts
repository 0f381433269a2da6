/** Tests of check, diff, apply, show and history against a fake key-value service. */
import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { startKeyValue, type KeyValueStandIn } from '@cassiamast/stand-ins';
import { ExitCode } from '../../src/index.js';
import { runCommand } from '../fixtures/run-command.js';

const TEXT = `failureDomains: [eros-hall]
workspaces:
  - { name: ramp, apiKeySha256: [${'a'.repeat(64)}] }
services:
  - name: portal
    kind: plain-service
    targets:
      - { name: portal-1, failureDomain: eros-hall, sidecar: "10.1.0.1:7000", backend: "10.1.0.1:8000" }
      - { name: portal-2, failureDomain: eros-hall, sidecar: "10.1.0.2:7000", backend: "10.1.0.2:8000" }
`;
const WITHDRAWN = TEXT.replace('10.1.0.2:8000" }', '10.1.0.2:8000", withdrawn: true }');
const WITH_DEADLINE = TEXT.replace(
  'kind: plain-service',
  'kind: plain-service\n    deadline: 30 s',
);

describe('the configuration commands', () => {
  let folder: string;
  let service: KeyValueStandIn;
  let connection: string[];

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'cassiamast-cli-'));
  });
  after(() => {
    rmSync(folder, { recursive: true });
  });
  beforeEach(async () => {
    service = await startKeyValue();
    connection = ['--key-value', service.address];
  });
  afterEach(() => service.stop());

  function writeText(text: string): string {
    const path = join(folder, 'deployment.yaml');
    writeFileSync(path, text);
    return path;
  }

  async function apply(
    text: string,
    ...flags: string[]
  ): Promise<Awaited<ReturnType<typeof runCommand>>> {
    return runCommand('apply', [writeText(text), '--json', ...connection, ...flags]);
  }

  describe('check', () => {
    it('accepts a correct text', async () => {
      const run = await runCommand('check', [writeText(TEXT), '--json']);
      assert.deepEqual(run.json, { correct: true, services: 1, targets: 2, workspaces: 1 });
      assert.equal(run.code, ExitCode.Done);
    });

    it('reports file, line and column of every fault', async () => {
      const path = writeText(
        TEXT.replace('kind: plain-service', 'kind: plain').replace('portal-2', 'portal-1'),
      );
      const run = await runCommand('check', [path]);
      assert.equal(run.code, ExitCode.TextFaulty);
      assert.match(run.err, /deployment\.yaml:6:11: /);
      assert.match(run.err, /deployment\.yaml:9:17: /);
    });

    /* Scripts that apply a text only after a check must be able to tell warnings from faults. */
    it('reports warnings with file, line and column and a dedicated code', async () => {
      const path = writeText(WITH_DEADLINE.replace('30 s', '300 ms'));
      const run = await runCommand('check', [path]);
      assert.equal(run.code, ExitCode.Warnings);
      assert.match(run.out, /is correct: 1 services, 2 targets/);
      assert.match(run.err, /deployment\.yaml:7:15: warning: A goal is longer than the deadline: /);
    });

    it('writes one document with warnings and differences', async () => {
      const other = join(folder, 'other.yaml');
      writeFileSync(other, TEXT);
      const path = writeText(WITH_DEADLINE.replace('30 s', '300 ms'));
      const run = await runCommand('check', [path, '--against', other, '--json']);
      assert.equal(run.code, ExitCode.Warnings);
      const { warnings, differences } = run.json as Record<string, Record<string, unknown>[]>;
      assert.deepEqual(
        warnings?.map(({ name, line, column }) => [name, line, column]),
        [['goal-beyond-deadline', 7, 15]],
      );
      assert.deepEqual(
        differences?.map(({ field, after: value }) => [field, value]),
        [['deadline', '300 ms']],
      );
    });

    it('compares with the version in force, where differences alone are no warning', async () => {
      await apply(TEXT, '--from-version', '0');
      const path = writeText(WITH_DEADLINE);
      const run = await runCommand('check', [path, '--in-force', ...connection]);
      assert.match(run.out, /\nservice portal: deadline 10 min → 30 s$/);
      assert.equal(run.code, ExitCode.Done);
    });

    it('reports a missing file', async () => {
      const run = await runCommand('check', [join(folder, 'none.yaml')]);
      assert.equal(run.code, ExitCode.BadUsage);
      assert.match(run.err, /ENOENT/);
    });
  });

  describe('apply', () => {
    it('accepts the first text with base version 0', async () => {
      const run = await apply(TEXT, '--from-version', '0');
      assert.equal(run.code, ExitCode.Done);
      assert.equal(run.json.version, 1);
    });

    it('requires the version that the text was edited from', async () => {
      const run = await apply(TEXT);
      assert.equal(run.code, ExitCode.BadUsage);
    });

    it('changes nothing when the text has faults', async () => {
      const run = await apply(TEXT.replace('eros-hall]', 'prosperita]'), '--from-version', '0');
      assert.equal(run.code, ExitCode.TextFaulty);
      assert.equal((await runCommand('show', connection)).code, ExitCode.BadUsage);
    });

    it('reads the version from the line that show writes, and does not store that line', async () => {
      await apply(TEXT, '--from-version', '0');
      const path = join(folder, 'shown.yaml');
      await runCommand('show', [...connection, '-o', path]);
      const shown = readFileSync(path, 'utf8');
      assert.match(shown, /^# cassiamast: edited from version 1;/);
      const run = await apply(
        shown.replace('kind: plain-service', 'kind: plain-service\n    deadline: 30 s'),
      );
      assert.equal(run.json.version, 2);
      const stored = await runCommand('show', ['--json', ...connection]);
      assert.equal(stored.json.text, WITH_DEADLINE);
    });

    /*
     * Two operators edit version 1 at the same time: one withdraws a target, the other changes a
     * deadline. Accepting the second edit would silently restore the withdrawn target.
     */
    it('rejects the later of two concurrent edits and shows both differences', async () => {
      await apply(TEXT, '--from-version', '0');
      assert.equal((await apply(WITHDRAWN, '--from-version', '1')).code, ExitCode.Done);
      const run = await apply(WITH_DEADLINE, '--from-version', '1');
      assert.equal(run.code, ExitCode.Conflict);
      const error = run.json.error as { name: string; data: Record<string, { change: string }[]> };
      assert.equal(error.name, 'edit-conflict');
      assert.deepEqual(
        error.data.othersChanged?.map(({ change }) => change),
        ['withdrawn'],
      );
      assert.ok(error.data.yoursWouldChange?.some(({ change }) => change === 'returned'));
      const stored = await runCommand('show', ['--json', ...connection]);
      assert.equal(stored.json.version, 2);
    });

    it('prints both differences as text', async () => {
      await apply(TEXT, '--from-version', '0');
      await apply(WITHDRAWN, '--from-version', '1');
      const run = await runCommand('apply', [
        writeText(WITH_DEADLINE),
        '--from-version',
        '1',
        ...connection,
      ]);
      assert.match(run.err, /The others changed:\n.*portal-2 of portal: withdrawn/s);
      assert.match(run.err, /Another edit was accepted first/);
    });

    /*
     * The key-value service accepts the edit, but its response is lost. An operator who sees an
     * error applies the edit again; it must neither conflict with itself nor be applied twice.
     */
    it('recognizes its own edit after a lost response', async () => {
      service.setFaults({ loseAnswers: 1 });
      const run = await apply(TEXT, '--from-version', '0');
      assert.equal(run.json.version, 1);
    });

    it('returns the same version when it is run again', async () => {
      await apply(TEXT, '--from-version', '0');
      const again = await apply(TEXT, '--from-version', '0');
      assert.equal(again.json.version, 1);
      const history = await runCommand('history', ['--json', ...connection]);
      assert.equal((history.json.versions as unknown[]).length, 1);
    });
  });

  describe('diff', () => {
    it('compares with the active version', async () => {
      await apply(TEXT, '--from-version', '0');
      const run = await runCommand('diff', [writeText(WITHDRAWN), ...connection]);
      assert.match(run.out, /target portal-2 of portal: withdrawn/);
    });

    it('compares two files without the key-value service', async () => {
      const other = join(folder, 'other.yaml');
      writeFileSync(other, TEXT);
      const run = await runCommand('diff', [writeText(WITH_DEADLINE), '--against', other]);
      assert.equal(run.out, 'service portal: deadline 10 min → 30 s');
    });
  });

  describe('history', () => {
    it('lists the latest versions first and can show an old one', async () => {
      await apply(TEXT, '--from-version', '0');
      await apply(WITHDRAWN, '--from-version', '1');
      const history = await runCommand('history', ['--json', ...connection]);
      const versions = history.json.versions as { version: number }[];
      assert.deepEqual(
        versions.map(({ version }) => version),
        [2, 1],
      );
      const old = await runCommand('show', ['--json', '--version', '1', ...connection]);
      assert.equal(old.json.text, TEXT);
    });

    it('is empty before the first text', async () => {
      const history = await runCommand('history', ['--json', ...connection]);
      assert.deepEqual(history.json.versions, []);
    });
  });

  describe('when the service is down', () => {
    it('exits with a dedicated code', async () => {
      service.setFaults({ down: true });
      const run = await runCommand('show', ['--json', ...connection]);
      assert.equal(run.code, ExitCode.Unreachable);
      assert.equal((run.json.error as { name: string }).name, 'key-value-failed');
    });
  });
});
