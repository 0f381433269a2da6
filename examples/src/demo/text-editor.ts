/**
 * The operators of the demo: they know the text and version that they last saw in force, and edit
 * from there.
 */
import type { Random } from '@cassiamast/coordination';
import { FailureError } from '@cassiamast/coordination';
import type { KeyValueClient } from '@cassiamast/ports';
import { applyText } from './apply.js';
import { withDrain, withWithdrawn } from './edits.js';

/** The edits that the demo makes. */
export interface TextEditor {
  /** Puts the first text in force. */
  readonly applyFirst: () => Promise<void>;
  /** Two operators edit the same version at once; gives how many edits were accepted. */
  readonly raceEdits: () => Promise<number>;
  readonly withdraw: (target: string) => Promise<void>;
}

/** Makes the operators of a text that is not in force yet. */
export function createTextEditor(
  client: KeyValueClient,
  firstText: string,
  random: Random,
): TextEditor {
  let text = firstText;
  let version = 0;
  const apply = async (edited: string): Promise<void> => {
    const applied = await applyText(client, edited, version, random);
    if (applied.isErr()) throw new FailureError(applied.error);
    version = applied.value;
    text = edited;
  };
  return {
    applyFirst: () => apply(text),
    withdraw: (target) => apply(withWithdrawn(text, target)),
    raceEdits: async () => {
      const edits = ['90 s', '100 s'].map((drain) => withDrain(text, drain));
      const base = version;
      const results = await Promise.all(
        edits.map((edited) => applyText(client, edited, base, random)),
      );
      const winners = results.flatMap((result, at) => (result.isOk() ? [at] : []));
      if (winners.length > 1) throw new RangeError('two edits of one version were both accepted');
      const [winner] = winners;
      if (winner !== undefined) {
        version = base + 1;
        text = edits[winner] ?? text;
      }
      return winners.length;
    },
  };
}
