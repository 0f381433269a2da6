/**
 * Runs one watch over the etcd JSON gateway. The response is a stream with one JSON object per line
 * that stays open until the client or the service ends it.
 */
import type { Failure } from '@cassiamast/coordination';
import { asObject, parseJsonObject } from '../http/json.js';
import type { HttpTransport } from '../http/transport.js';
import { KEY_VALUE_PROTOCOL, KEY_VALUE_REFUSED, KEY_VALUE_WATCH_ENDED } from './failures.js';
import type { KeyValueChange, StopWatch } from './port.js';
import { encode, readChanges } from './wire.js';

const WATCH_PATH = '/v3/watch';

/** Maximum length of a line. A value has at most 1 MB and grows by a third in base64. */
const MAX_LINE_CHARS = 4 * 1024 * 1024;

/** The key to watch, the first revision and the callbacks. */
export interface WatchOptions {
  readonly key: string;
  readonly fromRevision: number;
  readonly onChange: (change: KeyValueChange) => void;
  readonly onEnd: (failure: Failure | null) => void;
  readonly useNextEndpoint: () => void;
}

/** Starts a watch. `onEnd` is called once, unless the caller stops the watch first. */
export function startWatch(
  transport: HttpTransport,
  endpoint: string,
  options: WatchOptions,
): StopWatch {
  const decoder = new TextDecoder();
  let partialLine = '';
  let status = 0;
  // The caller can stop the watch within `onChange` while further lines are already buffered.
  let stopped = false;
  const failureData = (detail: string) => ({
    call: WATCH_PATH,
    endpoint,
    mayHaveRun: false,
    detail,
  });
  const stop = (): void => {
    stopped = true;
    stream.stop();
  };
  const end = (failure: Failure): void => {
    stop();
    options.onEnd(failure);
  };
  const handleLine = (line: string): boolean => {
    if (stopped) return false;
    if (line.trim() === '') return true;
    const result = asObject(parseJsonObject(line)?.result);
    if (result === null) {
      end(KEY_VALUE_PROTOCOL.of(failureData('a line of the watch has no result')));
      return false;
    }
    if (result.canceled === true) {
      end(KEY_VALUE_WATCH_ENDED.of(failureData('the service cancelled the watch')));
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
      path: WATCH_PATH,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        create_request: { key: encode(options.key), start_revision: String(options.fromRevision) },
      }),
    },
    {
      onStart: (receivedStatus) => {
        status = receivedStatus;
        if (receivedStatus === 200) return;
        end(
          KEY_VALUE_REFUSED.of({ ...failureData('no watch was created'), status: receivedStatus }),
        );
      },
      onData: (chunk) => {
        if (status !== 200) return;
        partialLine += decoder.decode(chunk, { stream: true });
        const lines = partialLine.split('\n');
        partialLine = lines.pop() ?? '';
        if (!lines.every(handleLine) || partialLine.length <= MAX_LINE_CHARS) return;
        end(KEY_VALUE_PROTOCOL.of(failureData('a line of the watch is too long')));
      },
      onEnd: () => {
        options.onEnd(KEY_VALUE_WATCH_ENDED.of(failureData('the service closed the watch')));
      },
      onFailure: (trouble) => {
        if (!trouble.mayHaveRun) options.useNextEndpoint();
        options.onEnd(KEY_VALUE_WATCH_ENDED.of(failureData(trouble.detail)));
      },
    },
  );
  return stop;
}
