/** `cassiamast diff FILE`: shows what a text would change, compared with a version or another file. */
import { Args, Flags } from '@oclif/core';
import type { Configuration } from '@cassiamast/coordination';
import { diffConfigurations, differenceText } from '@cassiamast/config-text';
import { compileFile } from '../core/configuration/compile-file.js';
import { readVersion } from '../core/configuration/read.js';
import {
  KEY_VALUE_FLAGS,
  unwrapOrThrow,
  OperatorCommand,
  type ParsedConnectionFlags,
} from '../core/process/command.js';

/** Flags that select what the text is compared with. */
interface BaselineFlags extends ParsedConnectionFlags {
  readonly against?: string | undefined;
  readonly version?: number | undefined;
}

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
    const before = await this.#readBaseline(flags);
    const differences = diffConfigurations(before, after);
    if (differences.length === 0) this.log('No differences.');
    for (const difference of differences) this.log(differenceText(difference));
    return { differences };
  }

  async #readBaseline(flags: BaselineFlags): Promise<Configuration> {
    const { against, version } = flags;
    if (against !== undefined)
      return unwrapOrThrow(compileFile(against, await this.readText(against)));
    const port = await this.openKeyValue(flags);
    return unwrapOrThrow(await readVersion(port, version ?? null)).compiled;
  }
}
