// A client: sends one attempt and tells what it received.
import { request as httpRequest } from 'node:http';

let number = 0;
export const HOST = 'ficu95.example';

export function call(address, path, options = {}) {
  number += 1;
  const {
    attempt = `a${String(number).padStart(6, '0')}`,
    method = 'POST',
    deadlineMs = 4000,
    headers = {},
    body = 'x',
    agent = false,
    leaveAfterMs = null,
  } = options;
  const [host, port] = address.split(':');
  const sentAtMs = performance.now();
  const result = {
    attempt,
    path,
    sentAtMs,
    status: 0,
    headers: {},
    body: '',
    whole: false,
    endedAtMs: 0,
  };
  const parts = [];
  return new Promise((resolve) => {
    let isDone = false;
    const finish = () => {
      if (isDone) return;
      isDone = true;
      result.kept = sent.reusedSocket;
      clearTimeout(timer);
      result.endedAtMs = performance.now();
      result.body = Buffer.concat(parts).toString();
      resolve(result);
    };
    const sent = httpRequest(
      {
        host,
        port: Number(port),
        path,
        method,
        agent,
        headers: {
          host: HOST,
          'X-Cassiamast-Attempt-Id': attempt,
          'X-Cassiamast-Deadline-Ms': String(deadlineMs),
          ...headers,
        },
      },
      (response) => {
        result.status = response.statusCode;
        result.headers = response.headers;
        response.on('data', (part) => {
          parts.push(part);
          options.onData?.(part, sent);
        });
        response.on('end', () => {
          result.whole = response.complete;
          finish();
        });
        response.on('error', finish);
        response.on('close', finish);
      },
    );
    const timer = setTimeout(
      () => {
        result.gaveUp = true;
        sent.destroy();
        finish();
      },
      leaveAfterMs ?? deadlineMs + 3000,
    );
    sent.on('error', (error) => {
      result.error = error.code;
      finish();
    });
    sent.end(method === 'GET' ? undefined : body);
  });
}
