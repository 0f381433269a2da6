/**
 * Drains an entry or sidecar that shuts down, or a target whose role changes. New work is accepted
 * until its senders have had time to notice the drain. Running work may then finish, and what remains
 * at the deadline is handed over to another process. A drain ends only after new work is rejected, so
 * no work is accepted by a process that is about to end.
 */

/** Phases of a drain. */
export enum DrainPhase {
  Serving = 'serving',
  /** Announced; work that was already in transit is still accepted. */
  Noticed = 'noticed',
  /** Accepts no new work, or only work that ends in time; running work continues. */
  Draining = 'draining',
  /** Running work is being handed over to another process. */
  HandingOver = 'handing-over',
  Drained = 'drained',
}

/** Kinds of drain effects. */
export enum DrainEffectKind {
  /** Announce to members and the platform's load balancer that no new work should be sent. */
  AnnounceLeaving = 'announce-leaving',
  /** Accept only work that ends within `drainMs` of the start of the drain. */
  LimitAccepting = 'limit-accepting',
  /** Reject new work from now on, and report it as not run. */
  StopAccepting = 'stop-accepting',
  /** Hand over the running work: streams are resumed elsewhere after the tokens already sent. */
  HandOver = 'hand-over',
  /** The drain is over: exit, or send the order that required the drain. */
  Drained = 'drained',
}

/** An effect of a drain. */
export type DrainEffect =
  | {
      readonly kind:
        | DrainEffectKind.AnnounceLeaving
        | DrainEffectKind.LimitAccepting
        | DrainEffectKind.StopAccepting
        | DrainEffectKind.HandOver;
    }
  | {
      readonly kind: DrainEffectKind.Drained;
      /**
       * Number of work items that could not be handed over in time. Their records remain after the
       * process ends, and their callers retry.
       */
      readonly leftRunning: number;
    };

/** Safety rules of a drain; each prevents a failure that the design document describes. */
export interface DrainGuards {
  /** Whether work that was in transit when the drain started is still accepted. */
  readonly waitsForNotice: boolean;
  /** Whether the drain waits for running work and hands over what remains. */
  readonly waitsForWork: boolean;
}

/** Options of a drain. */
export interface DrainOptions {
  /**
   * Time for the load balancer and the entries to notice the drain; a membership update reaches all
   * members within two seconds.
   */
  readonly noticeMs: number;
  /** Time from the start of the drain in which running work may finish. */
  readonly drainMs: number;
  /** Time for handing over the remaining work after `drainMs`. */
  readonly handOverMs: number;
  /**
   * Whether work that ends in time is accepted while the drain waits for running work. Needed for a
   * process to which a load balancer keeps sending when it has no other one.
   */
  readonly acceptsWhileDraining: boolean;
  readonly guards: DrainGuards;
}

/** The default options; `drainMs` is set from the configuration's limits. */
export const DRAIN_OPTIONS: DrainOptions = {
  noticeMs: 5_000,
  drainMs: 30_000,
  handOverMs: 5_000,
  acceptsWhileDraining: false,
  guards: { waitsForNotice: true, waitsForWork: true },
};

/** The state of one drain. */
export interface DrainState {
  readonly options: DrainOptions;
  phase: DrainPhase;
  startedAtMs: number;
}

/** Creates a drain that has not started. */
export function createDrain(options: DrainOptions): DrainState {
  return { options, phase: DrainPhase.Serving, startedAtMs: 0 };
}

/** Returns whether new work is accepted, including when only work that ends in time is. */
export function acceptsWork({ phase, options }: DrainState): boolean {
  if (phase === DrainPhase.Draining) return options.acceptsWhileDraining;
  return phase === DrainPhase.Serving || phase === DrainPhase.Noticed;
}

/** Starts the drain; later calls have no effect. */
export function startDrain(state: DrainState, nowMs: number): DrainEffect[] {
  if (state.phase !== DrainPhase.Serving) return [];
  state.phase = DrainPhase.Noticed;
  state.startedAtMs = nowMs;
  return [{ kind: DrainEffectKind.AnnounceLeaving }];
}

/** Puts the target back into service after its change was made or abandoned. */
export function endDrain(state: DrainState): void {
  state.phase = DrainPhase.Serving;
}

function drained(state: DrainState, leftRunning: number): DrainEffect[] {
  state.phase = DrainPhase.Drained;
  return [{ kind: DrainEffectKind.Drained, leftRunning }];
}

/** Rejects new work from now on, unless this was done when the notice period ended. */
function stopAccepting({ options }: DrainState): DrainEffect[] {
  return options.acceptsWhileDraining ? [{ kind: DrainEffectKind.StopAccepting }] : [];
}

function tickDraining(state: DrainState, runningWork: number, elapsedMs: number): DrainEffect[] {
  const { drainMs, guards } = state.options;
  const isIdle = runningWork === 0 || !guards.waitsForWork;
  if (isIdle) return [...stopAccepting(state), ...drained(state, runningWork)];
  if (elapsedMs < drainMs) return [];
  state.phase = DrainPhase.HandingOver;
  return [...stopAccepting(state), { kind: DrainEffectKind.HandOver }];
}

/** Advances the drain. Should be called about ten times a second and whenever running work ends. */
export function tickDrain(state: DrainState, runningWork: number, nowMs: number): DrainEffect[] {
  const { noticeMs, drainMs, handOverMs, guards } = state.options;
  const elapsedMs = nowMs - state.startedAtMs;
  switch (state.phase) {
    case DrainPhase.Serving:
    case DrainPhase.Drained:
      return [];
    case DrainPhase.Noticed: {
      if (elapsedMs < noticeMs && guards.waitsForNotice) return [];
      state.phase = DrainPhase.Draining;
      const kind = state.options.acceptsWhileDraining
        ? DrainEffectKind.LimitAccepting
        : DrainEffectKind.StopAccepting;
      return [{ kind }, ...tickDraining(state, runningWork, elapsedMs)];
    }
    case DrainPhase.Draining:
      return tickDraining(state, runningWork, elapsedMs);
    case DrainPhase.HandingOver: {
      const isOverdue = elapsedMs >= drainMs + handOverMs;
      return runningWork === 0 || isOverdue ? drained(state, runningWork) : [];
    }
  }
}
