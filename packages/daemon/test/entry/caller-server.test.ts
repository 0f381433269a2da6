/** Tests the HTTP server for callers during shutdown, with callers on keep-alive connections. */
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { type Configuration, TargetKind, type WorkspaceSpec } from '@cassiamast/coordination';
import { freePort } from '@cassiamast/stand-ins';
import { type CallerServer, createCallerServer } from '../../src/entry/caller-server.js';
import { openGuard } from '../fixtures/open-guard.js';
import { callRaw } from '../fixtures/raw-caller.js';
import { waitFor } from '../fixtures/wait-for.js';

const HOST = '127.0.0.1';
/** Larger than the socket buffers on both ends of a connection. */
const LARGE_ANSWER = Buffer.alloc(32 * 1024 * 1024, 'x');
const WORKSPACE: WorkspaceSpec = {
  name: 'inspectors',
  share: 1,
  apiKeySha256: [],
  maxTokensPerS: null,
};
const CONFIGURATION: Configuration = {
  services: [
    {
      name: 'portal',
      kind: TargetKind.PlainService,
      dependsOn: [],
      models: [],
      calls: [{ pathPrefix: '/', repeatable: true }],
      targets: [],
      goals: { firstTokenMs: 360, interTokenMs: 80 },
      floorTargets: 1,
      rolesMayChange: false,
      priority: 1,
      deadlineMs: 30_000,
      retryBudgetRatio: 0.2,
    },
  ],
  workspaces: [WORKSPACE],
  limits: {
    answerRetentionMs: 60_000,
    maxPromptTokens: 32_768,
    maxOutputTokens: 4_096,
    maxBodyBytes: 1_048_576,
    drainMs: 10_000,
  },
};

function head(method: string, length: number): string {
  const fields = ['host: entry', `content-length: ${String(length)}`];
  return `${method} /services/portal/ HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n`;
}

describe('caller server', () => {
  let port: number;
  let callers: CallerServer;
  let isLeaving: boolean;
  let waiting: ServerResponse[];

  beforeEach(async () => {
    port = await freePort();
    isLeaving = false;
    waiting = [];
    callers = createCallerServer({
      address: { host: HOST, port },
      guard: openGuard(),
      configuration: () => CONFIGURATION,
      authenticate: () => () => WORKSPACE,
      notServingReason: () => null,
      isLeaving: () => isLeaving,
      makeKey: () => 'key',
      onRejected: () => undefined,
      onModelRequest: () => undefined,
      onPlainCall: (_call, response) => {
        waiting.push(response);
      },
    });
    await callers.child.start(() => undefined);
  });
  afterEach(() => callers.child.stop());

  it('counts a request as open from its headers until its answer is sent', async () => {
    const caller = callRaw(port);
    caller.socket.write(head('POST', 4));
    await waitFor(() => callers.open() === 1);
    caller.socket.write('body');
    await waitFor(() => waiting.length === 1);
    assert.equal(callers.open(), 1);
    waiting[0]?.end('done');
    await waitFor(() => callers.open() === 0);
    caller.socket.destroy();
  });

  it('answers a request whose body arrives during shutdown', async () => {
    const caller = callRaw(port);
    caller.socket.write(head('POST', 4));
    await waitFor(() => callers.open() === 1);
    const stopped = callers.child.stop();
    caller.socket.write('body');
    await waitFor(() => waiting.length === 1);
    waiting[0]?.end('done');
    await stopped;
    await waitFor(caller.isClosed);
    assert.match(caller.text(), /connection: close[^]*done$/i);
  });

  // A slow reader leaves part of its answer in the send buffer. Closing the connection at shutdown
  // would truncate that answer.
  it('sends a complete answer that was ended before the shutdown', async () => {
    const caller = callRaw(port);
    caller.socket.pause();
    caller.socket.write(head('GET', 0));
    await waitFor(() => waiting.length === 1);
    waiting[0]?.end(LARGE_ANSWER);
    assert.equal(callers.open(), 1);
    const stopped = callers.child.stop();
    caller.socket.resume();
    await stopped;
    await waitFor(caller.isClosed);
    assert.equal(caller.text().split('\r\n\r\n')[1]?.length, LARGE_ANSWER.length);
  });

  // Keep-alive connections would bind callers to a leaving entry, which rejects their retries.
  it('closes keep-alive connections once the entry is leaving', async () => {
    const caller = callRaw(port);
    caller.socket.write(head('GET', 0));
    await waitFor(() => waiting.length === 1);
    waiting[0]?.end('done');
    await waitFor(() => caller.answers() === 1);
    assert.match(caller.text(), /connection: keep-alive/i);
    isLeaving = true;
    caller.socket.write(head('GET', 0));
    await waitFor(() => waiting.length === 2);
    waiting[1]?.end('done');
    await waitFor(caller.isClosed);
    assert.match(caller.text(), /connection: close/i);
  });

  // A peer that connects without sending a request would otherwise block the shutdown forever.
  it('shuts down while a connected peer sends nothing', async () => {
    const caller = callRaw(port);
    await new Promise((resolve) => caller.socket.once('connect', resolve));
    await callers.child.stop();
    await waitFor(caller.isClosed);
  });
});
