/** Check, diff, apply, show and history against the key-value service's stand-in. */
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
const CLOSER = TEXT.replace('kind: plain-service', 'kind: plain-service\n    deadline: 30 s');

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

  function file(text: string): string {
    const path = join(folder, 'deployment.yaml');
    writeFileSync(path, text);
    return path;
  }

  async function apply(
    text: string,
    ...flags: string[]
  ): Promise<Awaited<ReturnType<typeof runCommand>>> {
    return runCommand('apply', [file(text), '--json', ...connection, ...flags]);
  }

  describe('check', () => {
    it('accepts a correct text', async () => {
      const run = await runCommand('check', [file(TEXT), '--json']);
      assert.deepEqual(run.json, { correct: true, services: 1, targets: 2, workspaces: 1 });
      assert.equal(run.code, ExitCode.Done);
    });

    it('names file, line and column of every fault', async () => {
      const path = file(
        TEXT.replace('kind: plain-service', 'kind: plain').replace('portal-2', 'portal-1'),
      );
      const run = await runCommand('check', [path]);
      assert.equal(run.code, ExitCode.TextFaulty);
      assert.match(run.err, /deployment\.yaml:6:11: /);
      assert.match(run.err, /deployment\.yaml:9:17: /);
    });

    it('says when the file is not there', async () => {
      const run = await runCommand('check', [join(folder, 'none.yaml')]);
      assert.equal(run.code, ExitCode.BadUsage);
      assert.match(run.err, /ENOENT/);
    });
  });

  describe('apply', () => {
    it('takes the first text from version 0', async () => {
      const run = await apply(TEXT, '--from-version', '0');
      assert.equal(run.code, ExitCode.Done);
      assert.equal(run.json.version, 1);
    });

    it('wants to know from which version the text was edited', async () => {
      const run = await apply(TEXT);
      assert.equal(run.code, ExitCode.BadUsage);
    });

    it('changes nothing when the text has faults', async () => {
      const run = await apply(TEXT.replace('eros-hall]', 'prosperita]'), '--from-version', '0');
      assert.equal(run.code, ExitCode.TextFaulty);
      assert.equal((await runCommand('show', connection)).code, ExitCode.BadUsage);
    });

    it('takes the version from what show wrote, and does not store that line', async () => {
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
      assert.equal(stored.json.text, CLOSER);
    });

    /*
     * Story: two operators edit version 1 at the same time. One withdraws a target, the other
     * changes a deadline. If the second were taken, the withdrawn target would silently return.
     */
    it('refuses the later of two racing edits and shows both differences', async () => {
      await apply(TEXT, '--from-version', '0');
      assert.equal((await apply(WITHDRAWN, '--from-version', '1')).code, ExitCode.Done);
      const run = await apply(CLOSER, '--from-version', '1');
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

    it('tells the same to a person', async () => {
      await apply(TEXT, '--from-version', '0');
      await apply(WITHDRAWN, '--from-version', '1');
      const run = await runCommand('apply', [file(CLOSER), '--from-version', '1', ...connection]);
      assert.match(run.err, /The others changed:\n.*portal-2 of portal: withdrawn/s);
      assert.match(run.err, /Another edit was accepted first/);
    });

    /*
     * Story: the key-value service accepts the edit, and its answer is lost. An operator who sees
     * an error sends the edit again; it must neither conflict with itself nor count twice.
     */
    it('finds its own edit again when the answer was lost', async () => {
      service.setFaults({ loseAnswers: 1 });
      const run = await apply(TEXT, '--from-version', '0');
      assert.equal(run.json.version, 1);
    });

    it('gives the same version when it is simply run again', async () => {
      await apply(TEXT, '--from-version', '0');
      const again = await apply(TEXT, '--from-version', '0');
      assert.equal(again.json.version, 1);
      const history = await runCommand('history', ['--json', ...connection]);
      assert.equal((history.json.versions as unknown[]).length, 1);
    });
  });

  describe('diff', () => {
    it('compares with the version in force', async () => {
      await apply(TEXT, '--from-version', '0');
      const run = await runCommand('diff', [file(WITHDRAWN), ...connection]);
      assert.match(run.out, /target portal-2 of portal: withdrawn/);
    });

    it('compares two files without any service', async () => {
      const other = join(folder, 'other.yaml');
      writeFileSync(other, TEXT);
      const run = await runCommand('diff', [file(CLOSER), '--against', other]);
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
    it('says so with its own exit code', async () => {
      service.setFaults({ down: true });
      const run = await runCommand('show', ['--json', ...connection]);
      assert.equal(run.code, ExitCode.Unreachable);
      assert.equal((run.json.error as { name: string }).name, 'key-value-failed');
    });
  });
});
