/**
 * Builds the job that a gateway submits to the scheduler for one turn of a request at the engines.
 */
import type { Exchange } from './exchange.js';
import type { ForwardingServices } from './forwarding-services.js';
import type { JobRequest } from './scheduling-service.js';

/** Callers of streams disconnect after a silence as long as the longest of these three. */
const MIN_CALLER_SILENCE_MS = 2000;
const CALLER_SILENCE_TARGET_LATENCIES = 4;
const CALLER_SILENCE_TARGET_GAPS = 8;

/**
 * Creates the job of a turn. Its times are relative to now because clocks differ between processes.
 */
export function createJobRequest(
  exchange: Exchange,
  services: ForwardingServices,
  jobId: string,
): JobRequest {
  const { route, head, service } = exchange;
  const { availability } = services;
  const now = services.nowMs();
  const callerSilenceMs = Math.max(
    MIN_CALLER_SILENCE_MS,
    route.targetLatencyMs * CALLER_SILENCE_TARGET_LATENCIES,
    route.targetGapMs * CALLER_SILENCE_TARGET_GAPS,
  );
  const silentSinceMs = exchange.lastEventAtMs ?? exchange.receivedAtMs;
  const deadlineAtMs = Math.min(exchange.endsAtMs, silentSinceMs + callerSilenceMs);
  return {
    id: jobId,
    route: route.name,
    workspace: exchange.workspace,
    priority: exchange.priority,
    parts: head.parts,
    outputTokens: head.outputTokens,
    failureDomain: services.failureDomain,
    gateway: services.selfId,
    aimInMs: Math.round(exchange.receivedAtMs + route.targetLatencyMs - now),
    deadlineInMs: Math.round(deadlineAtMs - now),
    avoid: [
      ...new Set([
        ...exchange.failedTargets,
        ...availability.unavailable(service),
        ...services.versions.excludedEngines(exchange),
      ]),
    ],
    keptVersion: services.versions.keptVersion(exchange),
    avoidForMs: Math.ceil(availability.availableInMs(service)),
  };
}
