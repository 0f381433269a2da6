/** Settings of a gateway at its start, which an adapter reads from the platform. */
import type { Address, MachineLimits, RetryWindowOptions } from '@cassiamast/coordination';
import type { UsageSettings } from './usage-reporter.js';

/** Settings of one gateway process. */
export interface GatewaySettings {
  /** Name of the process in logs. */
  readonly name: string;
  readonly failureDomain: string;
  /** Address for callers. */
  readonly front: Address;
  /** Address for the readiness checks of the platform's load balancer. */
  readonly readiness: Address;
  /** Address for calls from other gateways; also the identity of this gateway among them. */
  readonly members: Address;
  /** Address of the metrics endpoint. */
  readonly metrics: Address;
  /** Networks from which other gateways may call. */
  readonly memberNetworks: readonly string[];
  /** Share of a CPU core that the process may use. */
  readonly coreShare: number;
  /** Memory and descriptors of the process; its clients may use a part of them. */
  readonly machine: MachineLimits;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number;
  readonly retryWindow: RetryWindowOptions;
  /** Time to live of this gateway's lease. */
  readonly leaseTtlMs: number;
  /** Maximum time until a change in the platform's store takes effect. */
  readonly maxUpdateDelayMs: number;
  /**
   * Time after an interruption of this gateway or its connections from which such a change must take
   * effect in time again.
   */
  readonly contactMs: number;
  /**
   * Cost of sending work to another failure domain, as the time that it must save; null for the
   * default.
   */
  readonly leavePriceMs: number | null;
  /** Null if the platform asks for no usage reports. */
  readonly usage: UsageSettings | null;
}
