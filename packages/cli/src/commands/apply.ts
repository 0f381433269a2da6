/** `cassiamast apply FILE`: applies a text, based on the version it was edited from. */
import { userInfo } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { Args, Flags, ux } from '@oclif/core';
import {
  editConflict,
  FailureError,
  type Configuration,
  type ConfigurationEdit,
  type Failure,
} from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/ports';
import { applyEdit, editIdOf } from '../core/configuration/apply.js';
import { compileFile } from '../core/configuration/compile-file.js';
import { conflictDifferences, conflictLines } from '../core/configuration/conflict.js';
import { readCurrent, readVersionIfKept } from '../core/configuration/read.js';
import { readVersionLine } from '../core/configuration/version-line.js';
import { waitForPropagation } from '../core/fleet/propagation.js';
import {
  ENTRY_FLAGS,
  KEY_VALUE_FLAGS,
  unwrapOrThrow,
  OperatorCommand,
} from '../core/process/command.js';
import { BASE_VERSION_MISSING } from '../core/process/failures.js';

const MS_PER_S = 1_000;

export default class Apply extends OperatorCommand {
  static override description =
    'Put a text in force. Refused when another edit came first; safe to run again.';
  static override args = { file: Args.string({ required: true, description: 'the edited text' }) };
  static override flags = {
    ...KEY_VALUE_FLAGS,
    ...ENTRY_FLAGS,
    'from-version': Flags.integer({
      description: 'the version that was edited, where the text does not say; 0 for the first',
      min: 0,
    }),
    'edit-id': Flags.string({ description: 'recognises a repeated edit; made from the text' }),
    'wait-s': Flags.integer({
      description: 'wait so many seconds until it is in force at every process',
      min: 1,
    }),
  };

  async run(): Promise<object> {
    const { args, flags } = await this.parse(Apply);
    const { text, baseVersion: versionInText } = readVersionLine(await this.readText(args.file));
    const baseVersion = flags['from-version'] ?? versionInText;
    if (baseVersion === null) throw new FailureError(BASE_VERSION_MISSING.of({ file: args.file }));
    // The file is compiled with its version line, so that faults have the line numbers of the file.
    const compiled = unwrapOrThrow(compileFile(args.file, await this.readText(args.file)));
    const edit: ConfigurationEdit = {
      baseVersion,
      editId: flags['edit-id'] ?? editIdOf(baseVersion, text),
      text,
      compiled,
      editedAtMs: Date.now(),
      editedBy: userInfo().username,
    };
    const port = await this.openKeyValue(flags);
    const version = await this.#apply(port, edit);
    this.log(`Version ${String(version)} is accepted.`);
    const waitS = flags['wait-s'];
    const processes =
      waitS === undefined ? null : await this.#waitForPropagation(flags, version, waitS);
    return { version, editId: edit.editId, inForceAt: processes };
  }

  async #apply(port: KeyValuePort, edit: ConfigurationEdit): Promise<number> {
    if (!this.jsonEnabled()) ux.action.start('Applying');
    const outcome = await applyEdit(edit, {
      port,
      random: Math.random,
      sleep: (delayMs) => sleep(delayMs),
      onStep: (step) => {
        ux.action.status = step;
      },
    });
    if (!this.jsonEnabled()) ux.action.stop(outcome.isOk() ? 'accepted' : 'not accepted');
    if (outcome.isOk()) return outcome.value;
    throw new FailureError(await this.#explainConflict(port, edit, outcome.error));
  }

  /** Adds to an edit conflict what other edits changed and what this text would change. */
  async #explainConflict(
    port: KeyValuePort,
    { baseVersion, compiled }: { baseVersion: number; compiled: Configuration },
    failure: Failure,
  ): Promise<Failure> {
    if (!editConflict.is(failure)) return failure;
    const base = (await readVersionIfKept(port, baseVersion)).unwrapOr(null);
    const current = (await readCurrent(port)).unwrapOr(null);
    if (current === null) return failure;
    const differences = conflictDifferences(base, current, compiled);
    if (!this.jsonEnabled()) for (const line of conflictLines(differences)) this.logToStderr(line);
    return { ...failure, data: { ...failure.data, ...differences } };
  }

  async #waitForPropagation(
    flags: Parameters<Apply['openFleet']>[0],
    version: number,
    waitS: number,
  ): Promise<number> {
    const { callMember, entries } = await this.openFleet(flags);
    const processes = unwrapOrThrow(
      await waitForPropagation({
        callMember,
        entries,
        version,
        timeoutMs: waitS * MS_PER_S,
        nowMs: () => performance.now(),
        sleep: (delayMs) => sleep(delayMs),
        onProgress: this.progress('Waiting until it is in force everywhere'),
      }),
    );
    this.log(`It is in force at all ${String(processes)} processes.`);
    return processes;
  }
}
