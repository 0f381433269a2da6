/** `cassiamast show`: the text in force, or one of the history, ready to be edited. */
import { Flags } from '@oclif/core';
import { readVersion } from '../core/configuration/read.js';
import { withVersionLine } from '../core/configuration/version-line.js';
import { KEY_VALUE_FLAGS, must, OperatorCommand } from '../core/process/command.js';

export default class Show extends OperatorCommand {
  static override description = 'Show the text in force, with the line that "apply" needs.';
  static override flags = {
    ...KEY_VALUE_FLAGS,
    version: Flags.integer({ description: 'a version of the history instead', min: 1 }),
    output: Flags.string({ char: 'o', description: 'write to this file instead' }),
  };

  async run(): Promise<object> {
    const { flags } = await this.parse(Show);
    const port = await this.openKeyValue(flags);
    const document = must(await readVersion(port, flags.version ?? null));
    const { text, version, editId, editedAtMs, editedBy } = document;
    const edited = withVersionLine(text, version);
    if (flags.output === undefined) this.log('%s', edited.trimEnd());
    else await this.writeText(flags.output, edited);
    return { version, editId, editedAtMs, editedBy, text };
  }
}
