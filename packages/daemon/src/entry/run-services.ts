/** What every delivery of an entry shares: the drivers it calls and where its figures go. */
import type { AnswerEnding, DriveContext, DriveRequest, RunState } from '@cassiamast/coordination';
import type { CallHolder } from '../node/holder-driver.js';
import type { PoisonDriver } from '../node/poison-driver.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { Telemetry } from '../node/telemetry.js';
import type { ClaimDriver } from './claim-driver.js';
import type { LatencyFigures } from './latency-watch.js';
import type { ServicePolicy } from './service-policy.js';
import type { SessionDriver } from './session-driver.js';

/** Shared by all deliveries of one entry. */
export interface RunServices {
  readonly nowMs: () => number;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly sessions: SessionDriver;
  readonly claims: ClaimDriver;
  readonly poison: PoisonDriver;
  readonly callHolder: CallHolder;
  readonly policyOf: (service: string) => ServicePolicy;
  /** `keyIsFresh`: made by this entry for this request, so that no earlier submission exists. */
  /** Takes in a load that came with a stream; anything malformed is passed over. */
  readonly noteLoad: (params: unknown) => void;
  readonly driveContext: (request: DriveRequest, keyIsFresh: boolean) => DriveContext;
  readonly noteAnswered: (
    request: DriveRequest,
    figures: LatencyFigures,
    ending: AnswerEnding,
    goals: { readonly firstTokenMs: number; readonly interTokenMs: number },
  ) => void;
  readonly noteRefused: (request: DriveRequest, runState: RunState) => void;
}
