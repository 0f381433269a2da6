/** Tests of status, watch and timeline against fake members that respond like the daemon. */
import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { EventKind, MemberState } from '@cassiamast/coordination';
import { ExitCode } from '../../src/index.js';
import {
  memberStatus,
  processStatus,
  SECRET,
  startMember,
  type FakeMember,
} from '../fixtures/fleet.js';
import { runCommand } from '../fixtures/run-command.js';

describe('the commands that query the fleet', () => {
  let folder: string;
  let secretFile: string;
  let first: FakeMember;
  let second: FakeMember;
  let flags: string[];

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'cassiamast-cli-'));
    secretFile = join(folder, 'secret');
    writeFileSync(secretFile, `${SECRET}\n`);
  });
  after(() => {
    rmSync(folder, { recursive: true });
  });
  beforeEach(async () => {
    first = await startMember();
    second = await startMember();
    first.members = [memberStatus(first.id), memberStatus(second.id)];
    flags = ['--entry', first.id, '--secret-file', secretFile];
  });
  afterEach(() => Promise.all([first.stop(), second.stop()]));

  describe('status', () => {
    it('queries every member and sums the counters of the entries', async () => {
      const run = await runCommand('status', ['--json', ...flags]);
      assert.equal(run.code, ExitCode.Done);
      assert.equal(run.json.processes, 2);
      const [service] = run.json.services as { goodput: { answered: number }; readyAt: number }[];
      assert.equal(service?.goodput.answered, 20);
      assert.equal(service.readyAt, 2);
    });

    it('prints the versions that are still active', async () => {
      second.status = processStatus(second.id, { configurationVersion: 2, doubt: true });
      const run = await runCommand('status', flags);
      assert.match(run.out, /version 2, in force at 1 processes/);
      assert.match(run.out, new RegExp(`version 1 still at ${first.id}`));
      assert.match(run.out, new RegExp(`cut off +${second.id}`));
      assert.match(run.out, /inspect-llm +20 +18 +2 +75 % prompt +1 mixed/);
    });

    /*
     * A member has crashed and the others have not detected it yet. A status that silently omits
     * it would look like a smaller, healthy fleet.
     */
    it('lists unreachable members and reports them in the exit code', async () => {
      await second.stop();
      const run = await runCommand('status', ['--json', ...flags]);
      assert.equal(run.code, ExitCode.Partial);
      const [unreachable] = run.json.unreachable as { memberId: string }[];
      assert.equal(unreachable?.memberId, second.id);
    });

    it('does not wait for members that are known to be dead', async () => {
      first.members = [memberStatus(first.id), memberStatus('127.0.0.1:1', MemberState.Dead)];
      const run = await runCommand('status', ['--json', ...flags]);
      assert.match(JSON.stringify(run.json.unreachable), /hold it dead/);
    });

    /*
     * The entry in the operator's settings is down, which is a common reason to run the command.
     */
    it('queries the next entry when the first is down', async () => {
      await second.stop();
      const entries = ['--entry', second.id, '--entry', first.id];
      const run = await runCommand('status', ['--json', ...entries, '--secret-file', secretFile]);
      assert.equal(run.code, ExitCode.Partial);
      assert.equal(run.json.processes, 1);
    });

    it('explains a wrong secret', async () => {
      writeFileSync(join(folder, 'wrong'), 'not-the-secret');
      const run = await runCommand('status', [
        '--entry',
        first.id,
        '--secret-file',
        join(folder, 'wrong'),
      ]);
      assert.equal(run.code, ExitCode.Unreachable);
      assert.match(run.err, /no valid secret/);
    });

    it('reads its connection settings from a file', async () => {
      const path = join(folder, 'connection.yaml');
      writeFileSync(path, `entry: "${first.id}"\nsecretFile: ${secretFile}\n`);
      const run = await runCommand('status', ['--json', '--connection', path]);
      assert.equal(run.code, ExitCode.Done);
      writeFileSync(path, `entri: "${first.id}"\n`);
      const wrong = await runCommand('status', ['--json', '--connection', path]);
      assert.equal(wrong.code, ExitCode.BadUsage);
    });
  });

  describe('watch', () => {
    it('writes one line of JSON per refresh and stops at the count', async () => {
      const run = await runCommand('watch', [
        '--json',
        '--count',
        '2',
        '--interval-s',
        '1',
        ...flags,
      ]);
      const lines = run.out.split('\n');
      assert.equal(lines.length, 2);
      const last = JSON.parse(lines[1] ?? '') as { rates: { answeredPerS: number }[] };
      assert.equal(last.rates[0]?.answeredPerS, 0);
    });

    it('prints goodput, mix, roles and configuration versions as text', async () => {
      const run = await runCommand('watch', ['--count', '1', ...flags]);
      assert.match(run.out, /version 1, in force everywhere/);
      assert.match(run.out, /goodput\/s.*mix.*roles/);
    });
  });

  describe('timeline', () => {
    it('merges the events of all processes in causal order', async () => {
      second.timeline = {
        ...second.timeline,
        events: [
          { kind: EventKind.EngineCrashed, at: { wallMs: 0, counter: 1 }, process: second.id },
        ],
      };
      const run = await runCommand('timeline', flags);
      const kinds = run.out.split('\n').map((line) => line.split(/ +/)[2]);
      assert.deepEqual(kinds, ['engine-crashed', 'process-started']);
    });

    for (const [format, beginning] of [
      ['json', '{\n'],
      ['trace', '{"displayTimeUnit"'],
      ['html', '<!doctype html>'],
    ] as const) {
      it(`writes ${format} to a file`, async () => {
        const path = join(folder, `timeline.${format}`);
        const run = await runCommand('timeline', ['--format', format, '-o', path, ...flags]);
        assert.equal(run.code, ExitCode.Done);
        assert.ok(readFileSync(path, 'utf8').startsWith(beginning));
      });
    }

    it('reports the processes it could not reach', async () => {
      await second.stop();
      const run = await runCommand('timeline', flags);
      assert.equal(run.code, ExitCode.Partial);
      assert.ok(run.out.startsWith(`# ${second.id} could not be reached`));
    });
  });
});
