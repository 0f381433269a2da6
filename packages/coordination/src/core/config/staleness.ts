/**
 * Decides when a process stops accepting new work because its configuration may be stale. It keeps
 * accepting work while it has recent proof that its version is the latest, or sees at least half of
 * the targets of the active configuration: an accepted edit reaches the larger side of a partition,
 * so every process on that side receives it. See docs/design/configuration.md for the cases.
 */
import { EventKind } from '../events/event.js';
import type { Configuration } from '../model/configuration.js';
import type { ConfigContext, ConfigEffect } from './effects.js';
import { ConfigEffectKind } from './effects.js';
import type { ConfigState } from './state.js';

/**
 * A starting process must discover the other members before the share of targets that it sees is
 * meaningful. Until then, only recent proof of freshness counts.
 */
const STARTUP_SETTLE_MS = 3_000;

/**
 * Returns the share, 0 to 1, of the targets in service whose sidecars are seen as alive. Withdrawn
 * targets do not count; without any other target the share is 1.
 */
export function seenRatio(compiled: Configuration, context: ConfigContext): number {
  const targets = compiled.services.flatMap((service) => service.targets);
  const expected = targets.filter((target) => !target.withdrawn);
  if (expected.length === 0) return 1;
  const seen = expected.filter(({ sidecar }) => {
    const id = `${sidecar.host}:${String(sidecar.port)}`;
    return id === context.selfId || context.sees(id);
  });
  return seen.length / expected.length;
}

/** Returns whether this process sees enough of the fleet to receive its configuration updates. */
export function seesEnoughTargets(state: ConfigState, context: ConfigContext): boolean {
  if (state.inForce === null || context.nowMs - state.startedAtMs < STARTUP_SETTLE_MS) return false;
  // When a process is cut off, its membership view lags behind, but its own probes fail at once.
  const ratio = Math.min(seenRatio(state.inForce.compiled, context), context.answeredRatio());
  return state.options.guards.mayAcceptWork(ratio);
}

/** Updates whether new work is allowed and reports a change. */
export function updateNewWork(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  const { nowMs } = context;
  const { cutOffMs } = state.options;
  const freshAgeMs = state.freshAtMs === null ? Infinity : nowMs - state.freshAtMs;
  if (state.freshAtMs !== null) {
    state.justifiedAtMs = Math.max(state.justifiedAtMs ?? -Infinity, state.freshAtMs);
  }
  // Skips counting the targets while the last proof of freshness is recent, which is the usual case.
  if (freshAgeMs > cutOffMs / 2 && seesEnoughTargets(state, context)) state.justifiedAtMs = nowMs;
  const { inForce, justifiedAtMs } = state;
  const justified = justifiedAtMs !== null && nowMs - justifiedAtMs <= cutOffMs;
  const allowed = inForce !== null && justified;
  if (allowed === state.newWorkAllowed) return [];
  state.newWorkAllowed = allowed;
  const reason = allowed
    ? 'the configuration in force is known to be the latest, or half of the targets are in sight'
    : 'no fresh news of the configuration, and less than half of the targets in sight';
  const effect: ConfigEffect = { kind: ConfigEffectKind.NewWork, allowed, reason };
  if (allowed) return [effect];
  const kind = EventKind.ConfigurationDoubted;
  return [effect, { kind: ConfigEffectKind.Emit, event: { kind, reason } }];
}
