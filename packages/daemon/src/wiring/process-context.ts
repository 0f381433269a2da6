/** Declares the context that the parts of every daemon process share, for entries and sidecars. */
import type { Clocks, Hashing, Random } from '@cassiamast/coordination';
import type { ConsolaInstance } from 'consola';
import type { KeyValueClient } from '@cassiamast/ports';
import type { ClientGuard } from '../node/client-guard.js';
import type { RpcClient } from '../node/rpc-client.js';
import type { MemberProof } from '../node/secret.js';
import type { Telemetry } from '../node/telemetry.js';
import type { Timeline } from '../node/timeline.js';
import type { TrafficMeter } from '../node/traffic-meter.js';

/** Clocks, clients and telemetry of a process, created once at its start. */
export interface ProcessContext {
  readonly memberId: string;
  readonly clocks: Clocks;
  readonly random: Random;
  readonly hashing: Hashing;
  readonly log: ConsolaInstance;
  readonly proof: MemberProof;
  readonly guard: ClientGuard;
  /** Tells the guard the longest body that the configuration allows. */
  readonly setLongestBody: (bytes: number) => void;
  readonly rpc: RpcClient;
  readonly keyValue: KeyValueClient;
  readonly telemetry: Telemetry;
  readonly timeline: Timeline;
  readonly traffic: TrafficMeter;
  /** Ids of the members through which this process joins: the peers from the settings. */
  readonly seeds: readonly string[];
}
