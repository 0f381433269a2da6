/**
 * Client for the control ports of members. It sends JSON-RPC 2.0 calls as `POST /rpc`, authorized
 * with the members' secret.
 */
import type { Failure } from '@cassiamast/coordination';
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { UNKNOWN_MEMBER_ANSWER } from '../process/failures.js';

/** A process that does not respond within this time is reported as unreachable. */
export const MEMBER_TIMEOUT_MS = 3_000;

/** Largest response accepted. It fits a full ring buffer of events or a list of 1,000 members. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Methods that the command line calls; all are read-only. */
export enum ReadMethod {
  Status = 'status.read',
  Timeline = 'timeline.read',
  Metrics = 'metrics.read',
}

/** Calls a method on one member. */
export type CallMember = <Answer>(
  member: string,
  method: ReadMethod,
  params: object,
) => Promise<Result<Answer, Failure>>;

/** A client for members, and the function that closes its connections. */
export interface MemberClient {
  readonly callMember: CallMember;
  readonly close: () => Promise<void>;
}

/** Creates a client that sends the secret with each call. */
export function createMemberClient(secret: string): MemberClient {
  const dispatcher = new Agent({
    connect: { timeout: MEMBER_TIMEOUT_MS },
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
  const headers = { authorization: `Bearer ${secret}`, 'content-type': 'application/json' };
  let lastId = 0;

  async function exchange(member: string, method: ReadMethod, params: object): Promise<unknown> {
    lastId += 1;
    const answer = await request(`http://${member}/rpc`, {
      dispatcher,
      method: 'POST',
      headers,
      body: JSON.stringify(createJSONRPCRequest(lastId, method, params)),
      signal: AbortSignal.timeout(MEMBER_TIMEOUT_MS),
    });
    return answer.body.json();
  }

  return {
    callMember: async <Answer>(member: string, method: ReadMethod, params: object) => {
      try {
        return parseResponse<Answer>(member, await exchange(member, method, params));
      } catch (error) {
        return err(UNKNOWN_MEMBER_ANSWER.of({ member, cause: causeOf(error) }));
      }
    },
    close: () => dispatcher.destroy(),
  };
}

function causeOf(error: unknown): string {
  const { message, code } = error as NodeJS.ErrnoException;
  if (message !== '') return message;
  return code ?? 'no answer';
}

function parseResponse<Answer>(member: string, body: unknown): Result<Answer, Failure> {
  if (isJSONRPCResponse(body) && !body.error) return ok(body.result as Answer);
  const failure = isJSONRPCResponse(body) ? (body.error?.data ?? body.error) : body;
  return err(UNKNOWN_MEMBER_ANSWER.of({ member, cause: messageOf(failure) }));
}

function messageOf(failure: unknown): string {
  const message: unknown = (failure as { message?: unknown } | null)?.message;
  return typeof message === 'string' ? message : 'the answer is not JSON-RPC';
}
