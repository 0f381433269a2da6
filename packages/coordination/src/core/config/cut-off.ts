/**
 * When a process stops taking new work because it may be acting on an old configuration. It goes on
 * as long as it has fresh news, or sees at least half of the targets of the configuration in force:
 * an edit that was accepted reaches the larger part, so whoever is with the larger part hears of it.
 * See docs/design/configuration.md for the cases.
 */
import { EventKind } from '../events/event.js';
import type { Configuration } from '../model/configuration.js';
import type { ConfigContext, ConfigEffect } from './effects.js';
import { ConfigEffectKind } from './effects.js';
import type { ConfigState } from './state.js';

/**
 * A starting process has to find the others before the share of them that it sees says anything;
 * until then only fresh news counts.
 */
const SETTLE_MS = 3_000;

/** Share of the targets that are not withdrawn whose sidecars are seen; 1 when there are none. */
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

/** Whether enough of the fleet is in sight for its news to reach this process. */
export function seesEnough(state: ConfigState, context: ConfigContext): boolean {
  if (state.inForce === null || context.nowMs - state.startedAtMs < SETTLE_MS) return false;
  // Beliefs lag behind in a process that is cut off; the answers to its own probes do not.
  const ratio = Math.min(seenRatio(state.inForce.compiled, context), context.answeredRatio());
  return state.options.guards.maySeeEnough(ratio);
}

/** Applies the rule and tells of a change. */
export function judgeNewWork(state: ConfigState, context: ConfigContext): ConfigEffect[] {
  const { nowMs } = context;
  const { cutOffMs } = state.options;
  const freshAgeMs = state.freshAtMs === null ? Infinity : nowMs - state.freshAtMs;
  if (state.freshAtMs !== null) {
    state.justifiedAtMs = Math.max(state.justifiedAtMs ?? -Infinity, state.freshAtMs);
  }
  // Counting the targets is left out while there is fresh news, which is nearly always.
  if (freshAgeMs > cutOffMs / 2 && seesEnough(state, context)) state.justifiedAtMs = nowMs;
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
