/** `cassiamast history`: lists who changed the configuration, and when. */
import { Flags } from '@oclif/core';
import { MAX_HISTORY_VERSIONS } from '@cassiamast/coordination';
import { readHistory } from '../core/configuration/read.js';
import { table } from '../core/output/table.js';
import { KEY_VALUE_FLAGS, unwrapOrThrow, OperatorCommand } from '../core/process/command.js';

const DEFAULT_LIMIT = 10;

export default class History extends OperatorCommand {
  static override description = 'List the latest versions of the configuration, newest first.';
  static override flags = {
    ...KEY_VALUE_FLAGS,
    limit: Flags.integer({
      description: 'how many versions',
      default: DEFAULT_LIMIT,
      min: 1,
      max: MAX_HISTORY_VERSIONS,
    }),
  };

  async run(): Promise<object> {
    const { flags } = await this.parse(History);
    const port = await this.openKeyValue(flags);
    const progress = this.progress('Reading the history');
    const versions = unwrapOrThrow(
      await readHistory(port, flags.limit, (read) => {
        progress(read, flags.limit);
      }),
    );
    const rows = versions.map(({ version, editedAtMs, editedBy, editId }) => [
      String(version),
      new Date(editedAtMs).toISOString(),
      editedBy,
      editId,
    ]);
    for (const line of table(['version', 'edited at', 'by', 'edit id'], rows)) this.log(line);
    return { versions };
  }
}
