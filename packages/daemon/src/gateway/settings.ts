/** What a gateway is told at its start. An adapter reads it from whatever the platform provides. */
import type { Address, RetryWindowOptions } from '@cassiamast/coordination';

/** Settings of one gateway process. */
export interface GatewaySettings {
  /** Its name in logs. */
  readonly name: string;
  readonly failureDomain: string;
  /** Where callers connect. */
  readonly front: Address;
  /** Where the platform's balancer asks whether callers may connect. */
  readonly readiness: Address;
  /** Where other gateways call; also its identity among them. */
  readonly members: Address;
  /** Where counters and histograms are served. */
  readonly metrics: Address;
  /** Networks that other gateways call from. */
  readonly memberNetworks: readonly string[];
  /** Part of a core that the process may use. */
  readonly coreShare: number;
  /** Time from the order to stop until the process is killed. */
  readonly graceMs: number;
  readonly retryWindow: RetryWindowOptions;
  /** Time to live of its entry among the gateways. */
  readonly leaseTtlMs: number;
  /** A change in the platform's store must be in force within so long. */
  readonly newsWithinMs: number;
}
