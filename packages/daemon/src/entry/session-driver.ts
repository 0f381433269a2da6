/** Dispatch sessions of this entry at the sidecars: asked for once, counted, forgotten on refusal. */
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

/** At the target size an entry knows a few hundred sidecars; more are asked for anew. */
const MAX_SIDECARS = 1_024;
const OPEN_TIMEOUT_MS = 1_000;

/** A place in a session for one dispatch. */
export interface SessionPlace {
  readonly sessionId: string;
  readonly sequence: number;
}

/** The sessions of one entry. */
export interface SessionDriver {
  /** `verify` asks the sidecar even when a session is at hand. */
  readonly open: (sidecar: string, verify: boolean) => ResultAsync<SessionPlace, Failure>;
  readonly forget: (sidecar: string) => void;
}

/** Makes the sessions; `entryIncarnation` is unique for this process. */
export function createSessionDriver(rpc: RpcClient, entryIncarnation: string): SessionDriver {
  const sessions = createEntrySessions(MAX_SIDECARS);

  function ask(sidecar: string): ResultAsync<SessionPlace, Failure> {
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
      const known = verify ? null : takeSequence(sessions, sidecar);
      return known === null ? ask(sidecar) : okAsync(known);
    },
    forget: (sidecar) => {
      forgetSession(sessions, sidecar);
    },
  };
}

/** Incarnation of the sidecar that gave a session. */
export function incarnationOf(sessionId: string): string {
  return sessionId.slice(0, sessionId.lastIndexOf('.'));
}
