/**
 * Writes log lines without ever making the process wait: lines are gathered and written in one
 * call a few times a second, and dropped, counted, where the reader is slow or too many come.
 */
import { write } from 'node:fs';
import { withResolvers } from '../node/http-body.js';

/** Bounds of the log's volume. */
export interface LogBounds {
  /** Lines that may come each second in the long run. */
  readonly linesPerS: number;
  /** Lines that may come at once. */
  readonly burstLines: number;
  /** Characters that wait for a slow reader. */
  readonly maxWaitingChars: number;
  readonly flushEveryMs: number;
}

/** Room for every decision on some 40 requests a second, and a megabyte of memory at most. */
export const LOG_BOUNDS: LogBounds = {
  linesPerS: 150,
  burstLines: 600,
  maxWaitingChars: 1_000_000,
  flushEveryMs: 100,
};

/** Takes lines, each with its line feed. */
export interface LogWriter {
  readonly write: (line: string) => void;
  /** The same for a line that is made only where there is room for it. */
  readonly writeMade: (make: () => string) => void;
  /** The same for a line that no rate limit drops; for lines that are few by their kind. */
  readonly writeUnlimited: (line: string) => void;
  /** Lines dropped so far. */
  readonly dropped: () => number;
  /** Writes what waits, after a write under way; resolves when all is out or can't be written. */
  readonly flush: () => Promise<void>;
}

/** Hands a text to the operating system; calls back when it is taken, with an error if it is not. */
export type WriteText = (text: string, done: (error: Error | null) => void) => void;

/** Hands bytes to the operating system, which may take a part of them only. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, takenBytes: number) => void,
) => void;

const STANDARD_OUTPUT = 1;
/** A pipe that is full is tried again after so long. */
const FULL_PIPE_MS = 50;

/** Writes to standard output off the loop: a pipe whose reader stalls blocks a plain write. */
export const writeStandardOutput: WriteText = createWholeWrite((bytes, done) => {
  write(STANDARD_OUTPUT, bytes, done);
});

/** Writes texts whole, however little of them is taken at once, so that no line is torn. */
export function createWholeWrite(writeBytes: WriteBytes): WriteText {
  function writeAll(bytes: Buffer, done: (error: Error | null) => void): void {
    writeBytes(bytes, (error, takenBytes) => {
      if (error?.code === 'EAGAIN') setTimeout(writeAll, FULL_PIPE_MS, bytes, done);
      else if (error !== null || takenBytes >= bytes.length) done(error);
      else writeAll(bytes.subarray(takenBytes), done);
    });
  }
  return (text, done) => {
    writeAll(Buffer.from(text), done);
  };
}

/** Makes a writer; `nowMs` is a monotonic clock. */
export function createLogWriter(
  bounds: LogBounds,
  writeText: WriteText,
  nowMs: () => number,
): LogWriter {
  let waiting: string[] = [];
  let waitingChars = 0;
  let tokens = bounds.burstLines;
  let refilledAtMs = nowMs();
  let dropped = 0;
  let writing: Promise<void> | null = null;
  let timer: NodeJS.Timeout | null = null;

  function refill(): void {
    const now = nowMs();
    const gained = ((now - refilledAtMs) / 1000) * bounds.linesPerS;
    tokens = Math.min(bounds.burstLines, tokens + gained);
    refilledAtMs = now;
  }

  function beginWrite(): Promise<void> {
    if (timer !== null) clearTimeout(timer);
    timer = null;
    const text = waiting.join('');
    const lines = waiting.length;
    waiting = [];
    waitingChars = 0;
    const { promise, resolve } = withResolvers<Error | null>();
    const ended = promise.then((error) => {
      writing = null;
      // There is nowhere to report that the log itself can't be written; the count tells.
      if (error !== null) dropped += lines;
      if (waiting.length > 0) schedule();
    });
    writing = ended;
    writeText(text, resolve);
    return ended;
  }

  async function flush(): Promise<void> {
    while (writing !== null || waiting.length > 0) await (writing ?? beginWrite());
  }

  function schedule(): void {
    // A write under way schedules the next one at its end.
    if (writing !== null) return;
    timer ??= setTimeout(() => void beginWrite(), bounds.flushEveryMs);
  }

  function put(line: string): void {
    waiting.push(line);
    waitingChars += line.length;
    schedule();
  }

  function writeMade(make: () => string): void {
    refill();
    if (tokens < 1 || waitingChars >= bounds.maxWaitingChars) {
      dropped += 1;
      return;
    }
    tokens -= 1;
    put(make());
  }

  return {
    write: (line) => {
      writeMade(() => line);
    },
    writeMade,
    writeUnlimited: (line) => {
      if (waitingChars < bounds.maxWaitingChars) put(line);
      else dropped += 1;
    },
    dropped: () => dropped,
    flush,
  };
}
