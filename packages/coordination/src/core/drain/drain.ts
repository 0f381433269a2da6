/**
 * One drain: of an entry or sidecar that shuts down, or of a target whose role changes. New work
 * goes on being taken until everybody who sends it has had time to notice, then the running work is
 * waited for, and what is left near the deadline is handed over to where it goes on. Nothing is cut:
 * a drain is over only after new work is refused, so that none is taken by what is about to end.
 */

/** Where a drain stands. */
export enum DrainPhase {
  Serving = 'serving',
  /** Announced; work that was already on its way is still taken. */
  Noticed = 'noticed',
  /** No new work, or only work that ends in time; running work goes on. */
  Draining = 'draining',
  /** Running work is being moved to where it goes on. */
  HandingOver = 'handing-over',
  Drained = 'drained',
}

/** Kinds of drain effects. */
export enum DrainEffectKind {
  /** Tell members and the platform's balancer that no new work is wanted. */
  AnnounceLeaving = 'announce-leaving',
  /** Take only work that ends within `drainMs` of the begin. */
  LimitAccepting = 'limit-accepting',
  /** Refuse new work from now on, truthfully as not run. */
  StopAccepting = 'stop-accepting',
  /** Move the running work: streams are taken up elsewhere from the tokens already sent. */
  HandOver = 'hand-over',
  /** Nothing runs here any more: exit, or give the order that the drain was for. */
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
      /** Work that could not be moved in time; its records outlive the process, its callers retry. */
      readonly leftRunning: number;
    };

/** Guards; each prevents one failure that the design note names. */
export interface DrainGuards {
  /** Whether work that was on its way when the drain began is still taken. */
  readonly waitsForNotice: boolean;
  /** Whether running work is waited for and moved. */
  readonly waitsForWork: boolean;
}

/** Settings of a drain. */
export interface DrainOptions {
  /** Time until balancer and entries have noticed: membership reaches all within two seconds. */
  readonly noticeMs: number;
  /** Time that running work may take to end by itself. */
  readonly drainMs: number;
  /** Time for moving what is left. */
  readonly handOverMs: number;
  /**
   * Whether work that ends in time is taken while running work is waited for: for a process that
   * balancers go on sending to where they have no other one.
   */
  readonly acceptsWhileDraining: boolean;
  readonly guards: DrainGuards;
}

/** The default settings; `drainMs` comes from the configuration's limits. */
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

/** Nothing is drained yet. */
export function createDrain(options: DrainOptions): DrainState {
  return { options, phase: DrainPhase.Serving, startedAtMs: 0 };
}

/** Whether new work is taken, be it only what ends in time. */
export function acceptsWork({ phase, options }: DrainState): boolean {
  if (phase === DrainPhase.Draining) return options.acceptsWhileDraining;
  return phase === DrainPhase.Serving || phase === DrainPhase.Noticed;
}

/** Begins the drain; a second call changes nothing. */
export function startDrain(state: DrainState, nowMs: number): DrainEffect[] {
  if (state.phase !== DrainPhase.Serving) return [];
  state.phase = DrainPhase.Noticed;
  state.startedAtMs = nowMs;
  return [{ kind: DrainEffectKind.AnnounceLeaving }];
}

/** Takes the target into service again, after the change or when the change was given up. */
export function endDrain(state: DrainState): void {
  state.phase = DrainPhase.Serving;
}

function drained(state: DrainState, leftRunning: number): DrainEffect[] {
  state.phase = DrainPhase.Drained;
  return [{ kind: DrainEffectKind.Drained, leftRunning }];
}

/** Ends the acceptance of new work where the notice has not ended it. */
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

/** Moves the drain on; call it about ten times a second and whenever running work ends. */
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
      const over = elapsedMs >= drainMs + handOverMs;
      return runningWork === 0 || over ? drained(state, runningWork) : [];
    }
  }
}
