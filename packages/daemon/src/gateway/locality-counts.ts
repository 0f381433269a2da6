/**
 * Counts what stays in the failure domain of this gateway and what leaves it, and logs when a service
 * begins or ceases to leave it.
 */
import { type LocalityReason, type TargetEntry } from '@cassiamast/coordination';
import type { ForwardingServices } from './forwarding-services.js';
import type { GatewayLog } from './gateway-log.js';

/** The services that counting uses. */
type CountServices = Pick<ForwardingServices, 'failureDomain' | 'count' | 'view'>;

/** Suffixes of counters. */
enum Extent {
  Local = 'local',
  CrossDomain = 'cross_domain',
}

/** Counts a request that is sent to a target, with the tokens of its prompt (0 if it has none). */
export function countSend(
  { failureDomain, count }: CountServices,
  target: TargetEntry,
  promptTokens: number,
): void {
  const extent = extentOf(target.failureDomain, failureDomain);
  count(`sends_${extent}_total`);
  if (promptTokens > 0) count(`prompt_tokens_${extent}_total`, promptTokens);
}

/** Counts a prompt that one engine hands over to another one. */
export function countHandover(
  { count, view }: CountServices,
  prefillEngineId: string,
  target: TargetEntry,
  promptTokens: number,
): void {
  const prefillEngine = view.targets.get(prefillEngineId)?.entry;
  if (prefillEngine === undefined) return;
  const extent = extentOf(target.failureDomain, prefillEngine.failureDomain);
  count(`handover_tokens_${extent}_total`, promptTokens);
}

function extentOf(failureDomain: string, other: string): Extent {
  return failureDomain === other ? Extent.Local : Extent.CrossDomain;
}

/** Where the requests of a service go, as far as this gateway decides it. */
export interface LocalityState {
  readonly reason: LocalityReason;
  /** Share of the requests with a gain that may leave. */
  readonly share: number;
}

/** Returns a function that logs the changes of a service's state. */
export function logLocality(log: GatewayLog, failureDomain: string) {
  const last = new Map<string, LocalityReason>();
  return (service: string, { reason, share }: LocalityState): void => {
    const previous = last.get(service);
    if (previous === reason) return;
    last.set(service, reason);
    log.info('locality changed', { service, failureDomain, reason, previous, share });
  };
}
