/** The process's log: one JSON object a line, lines only for changes of state. */
import { type ConsolaInstance, LogLevels, createConsola } from 'consola/basic';

/** Levels a settings file may name. */
export type LogLevelName = 'silent' | 'error' | 'warn' | 'info' | 'debug';

const LEVELS: Readonly<Record<LogLevelName, number>> = {
  silent: LogLevels.silent,
  error: LogLevels.error,
  warn: LogLevels.warn,
  info: LogLevels.info,
  debug: LogLevels.debug,
};

/** Makes a log that writes JSON lines, tagged with the member's id. */
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
