/**
 * Maintains this entry's dispatch sessions at the sidecars. A session is opened once, numbers each
 * dispatch, and is discarded when the sidecar rejects it.
 */
import {
  type Failure,
  createEntrySessions,
  forgetSession,
  rememberSession,
  takeSequence,
} from '@cassiamast/coordination';
import { ResultAsync, okAsync } from 'neverthrow';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';

/**
 * At the intended fleet size, an entry has sessions with a few hundred sidecars. Sessions evicted
 * above this limit are opened again on demand.
 */
const MAX_SIDECARS = 1_024;
const OPEN_TIMEOUT_MS = 1_000;

/** The session and sequence number of one dispatch. */
export interface SessionSequence {
  readonly sessionId: string;
  readonly sequence: number;
}

/** The sessions of one entry. */
export interface SessionDriver {
  /** Opens a session or reuses the open one; `verify` always contacts the sidecar. */
  readonly open: (sidecar: string, verify: boolean) => ResultAsync<SessionSequence, Failure>;
  readonly discard: (sidecar: string) => void;
}

/** Creates the session driver; `entryIncarnation` is unique to this process. */
export function createSessionDriver(rpc: RpcClient, entryIncarnation: string): SessionDriver {
  const sessions = createEntrySessions(MAX_SIDECARS);

  function openSession(sidecar: string): ResultAsync<SessionSequence, Failure> {
    return rpc
      .call<string>(
        sidecar,
        RpcMethod.SessionOpen,
        { entryIncarnation },
        { timeoutMs: OPEN_TIMEOUT_MS },
      )
      .map((sessionId) => {
        rememberSession(sessions, sidecar, sessionId);
        return takeSequence(sessions, sidecar) ?? { sessionId, sequence: 1 };
      });
  }

  return {
    open: (sidecar, verify) => {
      const knownSequence = verify ? null : takeSequence(sessions, sidecar);
      return knownSequence === null ? openSession(sidecar) : okAsync(knownSequence);
    },
    discard: (sidecar) => {
      forgetSession(sessions, sidecar);
    },
  };
}

/** Returns the incarnation of the sidecar that issued a session. */
export function incarnationOf(sessionId: string): string {
  return sessionId.slice(0, sessionId.lastIndexOf('.'));
}
