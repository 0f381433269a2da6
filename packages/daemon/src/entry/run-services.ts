/** The drivers and recorders that all requests of an entry share. */
import type {
  AnswerEnding,
  RequestContext,
  CallerRequest,
  RunState,
} from '@cassiamast/coordination';
import type { CallHolder } from '../node/holder-driver.js';
import type { PoisonDriver } from '../node/poison-driver.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { Telemetry } from '../node/telemetry.js';
import type { ClaimDriver } from './claim-driver.js';
import type { LatencyMeasurements } from './latency-meter.js';
import type { ServicePolicy } from './service-policy.js';
import type { SessionDriver } from './session-driver.js';

/** Dependencies shared by all requests of one entry. */
export interface RunServices {
  readonly nowMs: () => number;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly sessions: SessionDriver;
  readonly claims: ClaimDriver;
  readonly poison: PoisonDriver;
  readonly callHolder: CallHolder;
  readonly policyOf: (service: string) => ServicePolicy;
  /** Applies a load report that arrived with a stream; malformed reports are ignored. */
  readonly acceptLoadReport: (params: unknown) => void;
  /** `keyIsFresh`: this entry generated the key, so no earlier submission of the request exists. */
  readonly requestContext: (request: CallerRequest, keyIsFresh: boolean) => RequestContext;
  readonly recordAnswer: (
    request: CallerRequest,
    latency: LatencyMeasurements,
    ending: AnswerEnding,
    goals: { readonly firstTokenMs: number; readonly interTokenMs: number },
  ) => void;
  readonly recordRefusal: (request: CallerRequest, runState: RunState) => void;
}
