/**
 * Writes log lines without blocking the process. Lines are batched into a few writes per second;
 * when the reader is slow or the rate limit is reached, lines are dropped and counted.
 */
import { write } from 'node:fs';
import { withResolvers } from '../node/promises.js';

/** Limits on the volume of the log. */
export interface LogLimits {
  /** Sustained rate of lines. */
  readonly linesPerS: number;
  /** Lines that may be logged in a burst. */
  readonly burstLines: number;
  /** Characters that may be queued for a slow reader. */
  readonly maxQueuedChars: number;
  readonly flushEveryMs: number;
}

/** Enough for every decision on about 40 requests per second, with at most a megabyte of memory. */
export const LOG_LIMITS: LogLimits = {
  linesPerS: 150,
  burstLines: 600,
  maxQueuedChars: 1_000_000,
  flushEveryMs: 100,
};

/** Writes lines, each of which includes its line feed. */
export interface LogWriter {
  readonly write: (line: string) => void;
  /** Writes a line that is formatted only if it won't be dropped. */
  readonly writeLazy: (formatLine: () => string) => void;
  /** Writes a line that is exempt from the rate limit; only for inherently rare lines. */
  readonly writeUnlimited: (line: string) => void;
  /** Returns the number of lines dropped so far. */
  readonly dropped: () => number;
  /**
   * Waits for a pending write and writes all queued lines; resolves also if they can't be written.
   */
  readonly flush: () => Promise<void>;
}

/** Writes a text; calls back when it is written, or with an error. */
export type WriteText = (text: string, done: (error: Error | null) => void) => void;

/** Writes bytes, possibly only a part of them; calls back with the number written. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

const STANDARD_OUTPUT = 1;
/** Delay before retrying a write to a full pipe. */
const FULL_PIPE_RETRY_MS = 50;

/** Writes to standard output asynchronously; a synchronous write blocks if the reader stalls. */
export const writeStandardOutput: WriteText = createCompleteWrite((bytes, done) => {
  write(STANDARD_OUTPUT, bytes, done);
});

/** Creates a write function that continues after partial writes, so that no line is truncated. */
export function createCompleteWrite(writeBytes: WriteBytes): WriteText {
  function writeAll(bytes: Buffer, done: (error: Error | null) => void): void {
    writeBytes(bytes, (error, writtenBytes) => {
      if (error?.code === 'EAGAIN') setTimeout(writeAll, FULL_PIPE_RETRY_MS, bytes, done);
      else if (error !== null || writtenBytes >= bytes.length) done(error);
      else writeAll(bytes.subarray(writtenBytes), done);
    });
  }
  return (text, done) => {
    writeAll(Buffer.from(text), done);
  };
}

/** Creates a writer; `nowMs` is a monotonic clock. */
export function createLogWriter(
  limits: LogLimits,
  writeText: WriteText,
  nowMs: () => number,
): LogWriter {
  let queuedLines: string[] = [];
  let queuedChars = 0;
  let tokens = limits.burstLines;
  let refilledAtMs = nowMs();
  let dropped = 0;
  let writing: Promise<void> | null = null;
  let timer: NodeJS.Timeout | null = null;

  function refill(): void {
    const now = nowMs();
    const addedTokens = ((now - refilledAtMs) / 1000) * limits.linesPerS;
    tokens = Math.min(limits.burstLines, tokens + addedTokens);
    refilledAtMs = now;
  }

  function beginWrite(): Promise<void> {
    if (timer !== null) clearTimeout(timer);
    timer = null;
    const text = queuedLines.join('');
    const lines = queuedLines.length;
    queuedLines = [];
    queuedChars = 0;
    const { promise, resolve } = withResolvers<Error | null>();
    const ended = promise.then((error) => {
      writing = null;
      // A failure of the log can't be logged; it only shows in the count of dropped lines.
      if (error !== null) dropped += lines;
      if (queuedLines.length > 0) schedule();
    });
    writing = ended;
    writeText(text, resolve);
    return ended;
  }

  async function flush(): Promise<void> {
    while (writing !== null || queuedLines.length > 0) await (writing ?? beginWrite());
  }

  function schedule(): void {
    // A pending write schedules the next one when it ends.
    if (writing !== null) return;
    timer ??= setTimeout(() => void beginWrite(), limits.flushEveryMs);
  }

  function enqueue(line: string): void {
    queuedLines.push(line);
    queuedChars += line.length;
    schedule();
  }

  function writeLazy(formatLine: () => string): void {
    refill();
    if (tokens < 1 || queuedChars >= limits.maxQueuedChars) {
      dropped += 1;
      return;
    }
    tokens -= 1;
    enqueue(formatLine());
  }

  return {
    write: (line) => {
      writeLazy(() => line);
    },
    writeLazy,
    writeUnlimited: (line) => {
      if (queuedChars < limits.maxQueuedChars) enqueue(line);
      else dropped += 1;
    },
    dropped: () => dropped,
    flush,
  };
}
