/**
 * Putting versions in force and passing them on. Every path by which a document arrives ends in
 * {@link adopt}, where the version is compared, so no late answer can bring an old one back.
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

/** The version in force, 0 when there is none. */
export function versionInForce(state: ConfigState): number {
  return state.inForce?.version ?? 0;
}

/** Notes that nothing newer than `version` existed at `atMs` on the own clock. */
export function noteFresh(state: ConfigState, version: number, atMs: number): void {
  if (version <= versionInForce(state)) {
    state.freshAtMs = Math.max(state.freshAtMs ?? atMs, atMs);
    return;
  }
  if (state.freshWhen === null || atMs > state.freshWhen.atMs) state.freshWhen = { version, atMs };
}

/** Notes that `holder` has `version`; null for the key-value service. */
export function noteVersion(state: ConfigState, version: number, holder: string): void {
  if (!state.options.guards.mayReplace(versionInForce(state), version)) return;
  if (state.wanted === null || version > state.wanted.version) {
    state.wanted = { version, holders: [] };
  }
  if (version < state.wanted.version || state.wanted.holders.includes(holder)) return;
  state.wanted.holders.push(holder);
  if (state.wanted.holders.length > MAX_HOLDERS) state.wanted.holders.shift();
}

function keepPatch(state: ConfigState, patch: ConfigurationPatch): void {
  const last = state.patches.at(-1);
  if (last !== undefined && last.version !== patch.fromVersion) state.patches.length = 0;
  state.patches.push(patch);
  while (state.patches.length > state.options.keptPatches) state.patches.shift();
}

function announce(state: ConfigState, version: number, context: ConfigContext): ConfigEffect[] {
  const told = new Set<string>();
  for (let peer = 0; peer < state.options.announceFanout; peer += 1) {
    const to = context.pickPeer();
    if (to !== null) told.add(to);
  }
  return [...told].map((to) => ({ kind: ConfigEffectKind.Announce, to, version }));
}

/**
 * Puts a document in force if it is newer. Failure guarded against: an answer that was delayed past
 * a later edit reverts the process. It shows as a version that is not higher than the one in force.
 */
export function adopt(
  state: ConfigState,
  configuration: MemberConfiguration,
  patch: ConfigurationPatch | null,
  context: ConfigContext,
): ConfigEffect[] {
  const { inForce, options } = state;
  if (inForce !== null) {
    if (!options.guards.mayReplace(inForce.version, configuration.version)) return [];
    keepPatch(state, patch ?? diffConfigurations(inForce, configuration, context.hash32));
  }
  state.inForce = configuration;
  if (state.wanted !== null && state.wanted.version <= configuration.version) state.wanted = null;
  const { freshWhen } = state;
  if (freshWhen !== null && freshWhen.version <= configuration.version) {
    state.freshWhen = null;
    noteFresh(state, freshWhen.version, freshWhen.atMs);
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

/** Answers a peer's fetch. Errors: `configuration-not-held`. */
export function serveConfigFetch(
  state: ConfigState,
  request: FetchRequest,
): Result<FetchAnswer, Failure> {
  const { inForce, patches } = state;
  if (inForce === null || inForce.version <= request.haveVersion) {
    return err(configurationNotHeld.of(request));
  }
  const first = patches.findIndex((patch) => patch.fromVersion === request.haveVersion);
  if (first >= 0) return ok({ patches: patches.slice(first), whole: null });
  return ok({ patches: null, whole: inForce });
}

/** What came of a peer's answer. The effects are to be performed whether or not all of it fitted. */
export interface TakenAnswer {
  readonly effects: readonly ConfigEffect[];
  /** A patch did not fit: the whole document has to be fetched. */
  readonly isMismatch: boolean;
}

/** Applies a peer's answer, as far as its patches fit. */
export function takeAnswer(
  state: ConfigState,
  answer: FetchAnswer,
  context: ConfigContext,
): TakenAnswer {
  if (answer.whole !== null) {
    return { effects: adopt(state, answer.whole, null, context), isMismatch: false };
  }
  const effects: ConfigEffect[] = [];
  for (const patch of answer.patches ?? []) {
    const { inForce } = state;
    if (inForce === null) break;
    if (patch.fromVersion < inForce.version) continue;
    const patched = applyPatch(inForce, patch, context.hash32);
    if (patched.isErr()) return { effects, isMismatch: true };
    effects.push(...adopt(state, patched.value, patch, context));
  }
  return { effects, isMismatch: false };
}
