/**
 * One watch over the JSON gateway: a streamed answer of one JSON object a line, open until either
 * side ends it.
 */
import type { Failure } from '@cassiamast/coordination';
import { asObject, parseJsonObject } from '../http/json.js';
import type { HttpTransport } from '../http/transport.js';
import { KEY_VALUE_PROTOCOL, KEY_VALUE_REFUSED, KEY_VALUE_WATCH_ENDED } from './failures.js';
import type { KeyValueChange, StopWatch } from './port.js';
import { encode, readChanges } from './wire.js';

const PATH = '/v3/watch';

/** The longest line taken; a value is at most a megabyte and grows by a third in base64. */
const MAX_LINE_CHARS = 4 * 1024 * 1024;

/** What to watch and whom to tell. */
export interface WatchOptions {
  readonly key: string;
  readonly fromRevision: number;
  readonly onChange: (change: KeyValueChange) => void;
  readonly onEnd: (failure: Failure | null) => void;
  readonly useNextEndpoint: () => void;
}

/** Starts a watch; `onEnd` is called once unless the caller stops it. */
export function startWatch(
  transport: HttpTransport,
  endpoint: string,
  options: WatchOptions,
): StopWatch {
  const decoder = new TextDecoder();
  let pending = '';
  let status = 0;
  // The caller may stop the watch from within `onChange`, with more lines already read.
  let stopped = false;
  const describe = (detail: string) => ({ call: PATH, endpoint, mayHaveRun: false, detail });
  const stop = (): void => {
    stopped = true;
    stream.stop();
  };
  const end = (failure: Failure): void => {
    stop();
    options.onEnd(failure);
  };
  const takeLine = (line: string): boolean => {
    if (stopped) return false;
    if (line.trim() === '') return true;
    const result = asObject(parseJsonObject(line)?.result);
    if (result === null) {
      end(KEY_VALUE_PROTOCOL.of(describe('a line of the watch has no result')));
      return false;
    }
    if (result.canceled === true) {
      end(KEY_VALUE_WATCH_ENDED.of(describe('the service cancelled the watch')));
      return false;
    }
    for (const change of readChanges(result)) {
      if (!stopped) options.onChange(change);
    }
    return true;
  };
  const stream = transport.stream(
    {
      origin: endpoint,
      path: PATH,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        create_request: { key: encode(options.key), start_revision: String(options.fromRevision) },
      }),
    },
    {
      onStart: (code) => {
        status = code;
        if (code === 200) return;
        end(KEY_VALUE_REFUSED.of({ ...describe('no watch was created'), status: code }));
      },
      onData: (chunk) => {
        if (status !== 200) return;
        pending += decoder.decode(chunk, { stream: true });
        const lines = pending.split('\n');
        pending = lines.pop() ?? '';
        if (!lines.every(takeLine) || pending.length <= MAX_LINE_CHARS) return;
        end(KEY_VALUE_PROTOCOL.of(describe('a line of the watch is too long')));
      },
      onEnd: () => {
        options.onEnd(KEY_VALUE_WATCH_ENDED.of(describe('the service closed the watch')));
      },
      onTrouble: (trouble) => {
        if (!trouble.mayHaveRun) options.useNextEndpoint();
        options.onEnd(KEY_VALUE_WATCH_ENDED.of(describe(trouble.detail)));
      },
    },
  );
  return stop;
}
