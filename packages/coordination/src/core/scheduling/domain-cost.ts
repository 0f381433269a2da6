/**
 * Computes what it costs to run a job in another failure domain: network time, transfer of KV cache
 * over links that are slower between domains, and the price of leaving the domain.
 */
import type { LocalityOptions } from '../locality/options.js';
import type { Job } from './job.js';
import { CROSS_DOMAIN_TRANSFER_RATIO } from './prefill-cost.js';
import type { Scheduler } from './scheduler-state.js';
import type { TargetLoad } from './target-load.js';

/** The part of the locality options that engines use. */
export type DomainCosts = Pick<LocalityOptions, 'roundTripMs' | 'leavePriceMs'>;

/**
 * Returns the cost of prefilling a job on an engine, in milliseconds: the way from its gateway and
 * back, and the handover of the prompt to an engine of another domain if its own has none that
 * decodes (`decodeDomains`: the domains that have one).
 */
export function prefillDomainCostMs(
  { options }: Scheduler,
  load: TargetLoad,
  job: Job,
  decodeDomains: ReadonlySet<string>,
): number {
  const { locality } = options;
  if (locality === null) return 0;
  const { failureDomain } = load.entry;
  const gatewayMs =
    failureDomain === job.failureDomain ? 0 : locality.roundTripMs + locality.leavePriceMs;
  if (decodeDomains.size === 0 || decodeDomains.has(failureDomain)) return gatewayMs;
  const extraMs = load.transferMsPerToken * (CROSS_DOMAIN_TRANSFER_RATIO - 1);
  return gatewayMs + extraMs * promptTokens(job) + locality.leavePriceMs;
}

/**
 * Returns the cost of decoding a job on an engine, in milliseconds: the transfer of the prompt's
 * missing tokens from the prefill engine, and the way back to the job's gateway.
 */
export function decodeDomainCostMs(
  locality: DomainCosts,
  load: TargetLoad,
  prefillEngine: TargetLoad,
  job: Job,
  missingTokens: number,
): number {
  const { failureDomain } = load.entry;
  const isNearPrefill = failureDomain === prefillEngine.entry.failureDomain;
  const isNearGateway = failureDomain === job.failureDomain;
  const ratio = isNearPrefill ? 1 : CROSS_DOMAIN_TRANSFER_RATIO;
  const transferMs = missingTokens * load.transferMsPerToken * ratio;
  const returnMs = isNearGateway ? 0 : locality.roundTripMs / 2;
  const crossings = Number(!isNearPrefill) + Number(!isNearGateway);
  return transferMs + returnMs + crossings * locality.leavePriceMs;
}

/** Returns the number of tokens of a job's prompt. */
export function promptTokens({ parts }: Job): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
