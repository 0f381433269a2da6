/**
 * Applies new configuration versions in a process and passes them on to peers. Every path by which a
 * document arrives ends in {@link applyConfiguration}, which compares versions, so a late answer
 * cannot restore an older version.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { EventKind } from '../events/event.js';
import type { Failure } from '../failures/failure.js';
import type { ConfigurationPatch, MemberConfiguration } from './document.js';
import { applyPatch, diffConfigurations } from './document.js';
import type { ConfigContext, ConfigEffect, FetchAnswer, FetchRequest } from './effects.js';
import { ConfigEffectKind } from './effects.js';
import { configurationNotHeld } from './failures.js';
import type { ConfigState } from './state.js';
import { MAX_HOLDERS } from './state.js';

/** Returns the active version, or 0 when there is none. */
export function versionInForce(state: ConfigState): number {
  return state.inForce?.version ?? 0;
}

/** Records that nothing newer than `version` existed at `atMs` on the local clock. */
export function recordFreshness(state: ConfigState, version: number, atMs: number): void {
  if (version <= versionInForce(state)) {
    state.freshAtMs = Math.max(state.freshAtMs ?? atMs, atMs);
    return;
  }
  if (state.pendingFreshness === null || atMs > state.pendingFreshness.atMs)
    state.pendingFreshness = { version, atMs };
}

/** Records that `holder` has `version`, unless a newer version is active or wanted already. */
export function recordHolder(state: ConfigState, version: number, holder: string): void {
  if (!state.options.guards.mayReplace(versionInForce(state), version)) return;
  if (state.wanted === null || version > state.wanted.version) {
    state.wanted = { version, holders: [] };
  }
  if (version < state.wanted.version || state.wanted.holders.includes(holder)) return;
  state.wanted.holders.push(holder);
  if (state.wanted.holders.length > MAX_HOLDERS) state.wanted.holders.shift();
}

function storePatch(state: ConfigState, patch: ConfigurationPatch): void {
  const last = state.patches.at(-1);
  if (last !== undefined && last.version !== patch.fromVersion) state.patches.length = 0;
  state.patches.push(patch);
  while (state.patches.length > state.options.keptPatches) state.patches.shift();
}

function announce(state: ConfigState, version: number, context: ConfigContext): ConfigEffect[] {
  const peers = new Set<string>();
  for (let peer = 0; peer < state.options.announceFanout; peer += 1) {
    const to = context.pickPeer();
    if (to !== null) peers.add(to);
  }
  return [...peers].map((to) => ({ kind: ConfigEffectKind.Announce, to, version }));
}

/**
 * Applies a document if it is newer than the active one. An answer that was delayed past a later
 * edit is recognized by a version that is not higher; applying it would revert the process to an
 * older configuration.
 */
export function applyConfiguration(
  state: ConfigState,
  configuration: MemberConfiguration,
  patch: ConfigurationPatch | null,
  context: ConfigContext,
): ConfigEffect[] {
  const { inForce, options } = state;
  if (inForce !== null) {
    if (!options.guards.mayReplace(inForce.version, configuration.version)) return [];
    storePatch(state, patch ?? diffConfigurations(inForce, configuration, context.hash32));
  }
  state.inForce = configuration;
  if (state.wanted !== null && state.wanted.version <= configuration.version) state.wanted = null;
  const { pendingFreshness } = state;
  if (pendingFreshness !== null && pendingFreshness.version <= configuration.version) {
    state.pendingFreshness = null;
    recordFreshness(state, pendingFreshness.version, pendingFreshness.atMs);
  }
  return [
    { kind: ConfigEffectKind.PutInForce, configuration },
    {
      kind: ConfigEffectKind.Emit,
      event: {
        kind: EventKind.ConfigurationInForce,
        figures: { version: configuration.version, previous: inForce?.version ?? 0 },
      },
    },
    ...announce(state, configuration.version, context),
  ];
}

/** Answers a peer's fetch request. Errors: `configuration-not-held`. */
export function serveConfigFetch(
  state: ConfigState,
  request: FetchRequest,
): Result<FetchAnswer, Failure> {
  const { inForce, patches } = state;
  if (inForce === null || inForce.version <= request.haveVersion) {
    return err(configurationNotHeld.of(request));
  }
  const firstIndex = patches.findIndex((patch) => patch.fromVersion === request.haveVersion);
  if (firstIndex >= 0) return ok({ patches: patches.slice(firstIndex), whole: null });
  return ok({ patches: null, whole: inForce });
}

/** The result of applying a peer's answer. The effects must be performed even on a mismatch. */
export interface AppliedAnswer {
  readonly effects: readonly ConfigEffect[];
  /** Whether a patch did not apply, so that the whole document has to be fetched. */
  readonly isMismatch: boolean;
}

/** Applies a peer's answer, up to the first patch that does not match. */
export function applyFetchAnswer(
  state: ConfigState,
  answer: FetchAnswer,
  context: ConfigContext,
): AppliedAnswer {
  if (answer.whole !== null) {
    return { effects: applyConfiguration(state, answer.whole, null, context), isMismatch: false };
  }
  const effects: ConfigEffect[] = [];
  for (const patch of answer.patches ?? []) {
    const { inForce } = state;
    if (inForce === null) break;
    if (patch.fromVersion < inForce.version) continue;
    const patched = applyPatch(inForce, patch, context.hash32);
    if (patched.isErr()) return { effects, isMismatch: true };
    effects.push(...applyConfiguration(state, patched.value, patch, context));
  }
  return { effects, isMismatch: false };
}
