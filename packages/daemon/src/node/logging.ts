/** The log of the process: one JSON object per line, written only for changes of state. */
import { type ConsolaInstance, LogLevels, createConsola } from 'consola/basic';

/** Log levels that a settings file can select. */
export type LogLevelName = 'silent' | 'error' | 'warn' | 'info' | 'debug';

const LEVELS: Readonly<Record<LogLevelName, number>> = {
  silent: LogLevels.silent,
  error: LogLevels.error,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug,
};

/** Creates a log that writes JSON lines, each with the member's id. */
export function createLog(
  level: LogLevelName,
  process: string,
  write: (line: string) => void,
): ConsolaInstance {
  return createConsola({
    level: LEVELS[level],
    reporters: [
      {
        log: (entry) => {
          const message = entry.args.map((arg) => String(arg)).join(' ');
          const at = entry.date.toISOString();
          write(`${JSON.stringify({ at, level: entry.type, process, message })}\n`);
        },
      },
    ],
  });
}
