/** `cassiamast show`: prints the active text or an earlier version, ready to be edited. */
import { Flags } from '@oclif/core';
import { readVersion } from '../core/configuration/read.js';
import { withVersionLine } from '../core/configuration/version-line.js';
import { KEY_VALUE_FLAGS, unwrapOrThrow, OperatorCommand } from '../core/process/command.js';

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
    const document = unwrapOrThrow(await readVersion(port, flags.version ?? null));
    const { text, version, editId, editedAtMs, editedBy } = document;
    const edited = withVersionLine(text, version);
    if (flags.output === undefined) this.log('%s', edited.trimEnd());
    else await this.writeText(flags.output, edited);
    return { version, editId, editedAtMs, editedBy, text };
  }
}
