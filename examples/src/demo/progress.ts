/**
 * The progress display: one line that is rewritten on a terminal, one line a second elsewhere.
 */
import type { Tally } from './tally.js';

const EVERY_MS = 1_000;

/** The display. */
export interface Progress {
  readonly note: (text: string) => void;
  /** Shows counts until the given function is called. */
  readonly follow: (tally: Tally, planned: number) => () => void;
}

/** A display on standard error; a silent one notes nothing. */
export function createProgress(silent: boolean, nowMs: () => number): Progress {
  const startMs = nowMs();
  const seconds = (): string => ((nowMs() - startMs) / 1_000).toFixed(1).padStart(5);
  const write = (text: string): void => {
    if (!silent) process.stderr.write(`${seconds()} s  ${text}\n`);
  };
  return {
    note: write,
    follow: (tally, planned) => {
      const timer = setInterval(() => {
        const { started, answered, refusedNotRun, lost, retries } = tally;
        write(
          `${String(started)}/${String(planned)} sent, ${String(answered)} answered, ` +
            `${String(retries)} tried again, ${String(refusedNotRun)} refused, ${String(lost)} lost`,
        );
      }, EVERY_MS);
      return () => {
        clearInterval(timer);
      };
    },
  };
}
