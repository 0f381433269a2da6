/**
 * The log of a gateway, one JSON object per line. Each decision about a request and each change of
 * the gateway's view of the fleet is logged with the request's id, the inputs and the result.
 */
import type { LogWriter } from './log-writer.js';

/** The fields of a line in addition to its message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines. */
export interface GatewayLog {
  readonly info: (message: string, fields: LogFields) => void;
  readonly warn: (message: string, fields: LogFields) => void;
  /**
   * Logs an event of the process itself, or another one that is rare and must not be missed. These
   * lines are exempt from the rate limit.
   */
  readonly lifecycle: (message: string, fields: LogFields) => void;
}

/** Levels of lines. */
enum LineLevel {
  Info = 'info',
  Warn = 'warn',
}

/**
 * Creates the log of one process; `wallMs` provides the timestamps. Lines are formatted here rather
 * than by the logging library that the rest of the process uses: a gateway writes about six lines
 * per request, and the library would double their cost.
 */
export function createGatewayLog(
  process: string,
  writer: LogWriter,
  wallMs: () => number,
): GatewayLog {
  function makeLine(level: LineLevel, message: string, fields: LogFields): string {
    const at = new Date(wallMs()).toISOString();
    return `${JSON.stringify({ at, level, process, message, ...fields })}\n`;
  }

  function write(level: LineLevel, message: string, fields: LogFields): void {
    writer.writeLazy(() => makeLine(level, message, fields));
  }

  return {
    info: (message, fields) => {
      write(LineLevel.Info, message, fields);
    },
    warn: (message, fields) => {
      write(LineLevel.Warn, message, fields);
    },
    lifecycle: (message, fields) => {
      writer.writeUnlimited(makeLine(LineLevel.Info, message, fields));
    },
  };
}
