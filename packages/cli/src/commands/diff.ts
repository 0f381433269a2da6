/** `cassiamast diff FILE`: shows what a text would change, compared with a version or another file. */
import { Args, Flags } from '@oclif/core';
import { diffConfigurations } from '@cassiamast/config-text';
import { compileFile } from '../core/configuration/compile-file.js';
import { KEY_VALUE_FLAGS, unwrapOrThrow, OperatorCommand } from '../core/process/command.js';

export default class Diff extends OperatorCommand {
  static override description = 'Show what a text changes.';
  static override args = { file: Args.string({ required: true, description: 'the text' }) };
  static override flags = {
    ...KEY_VALUE_FLAGS,
    against: Flags.string({ description: 'another file instead of the version in force' }),
    version: Flags.integer({ description: 'a version of the history instead', min: 1 }),
  };

  async run(): Promise<object> {
    const { args, flags } = await this.parse(Diff);
    const after = unwrapOrThrow(compileFile(args.file, await this.readText(args.file)));
    const before = await this.readBaseline(flags);
    const differences = diffConfigurations(before, after);
    this.logDifferences(differences);
    return { differences };
  }
}
