/** How the gateways of the crashes world send requests, and what they conclude from the ends of these. */
import {
  AttemptEnd,
  CrashSource,
  isQuarantinedContent,
  isNearQuarantine,
  markContentHarmless,
  recordDown,
  recordLife,
  recordReached,
  suspect,
} from '@cassiamast/coordination';
import { forget, later, noteCrash } from './gateway.js';
import {
  CULPRIT,
  SELDOM,
  type Place,
  type SimulatedGateway,
  type SimulatedTarget,
  type Simulation,
} from './simulation.js';
import { run } from './targets.js';

const PROBE_MS = 12;
const PROBE_TIMEOUT_MS = 300;
/** Crashes after which a content must not be sent any more. */
export const CRASHES_UNTIL_QUARANTINE = 3;
/** Targets that one request is sent to at most. */
const MAX_ATTEMPTS = 2;
/** A gateway is in touch when nothing has disturbed it for this long. */
export const CONTACT_MS = 3000;
/** Sends that are answered neither way are over after this time. */
const PATIENCE_MS = 900;
/** Targets that live on are known to after this time. */
export const REFUTED_AFTER_MS = 12_000;

/** Returns whether the rule counts what a gateway sends now. */
function isInTouch({ scheduler, store }: Simulation, { inTouchSinceMs }: Place): boolean {
  return scheduler.nowMs - Math.max(inTouchSinceMs, store.steadySinceMs) > CONTACT_MS;
}

/** A caller's request arrives at a gateway. */
export function request(simulation: Simulation, place: Place, content: string): void {
  const { gateway } = place;
  later(simulation, gateway, 0, () => {
    sendOnce(simulation, place, gateway, content, 1, new Set());
  });
}

/**
 * Records that a harmless content was rejected. It may be after enough crashes that are real, or so
 * recent that they cannot be told from real ones, if nobody can have told this gateway better: the
 * content never runs whole, or the gateway has just been disturbed.
 */
function noteRejection(simulation: Simulation, place: Place, content: string): void {
  const { scheduler, crashedTargets, wronglyRejected } = simulation;
  const crashes = [...(place.gateway.memory.crashesByContent.get(content) ?? [])];
  const plausible = crashes.filter(
    ([id, { notedAtMs }]) =>
      crashedTargets.has(id) || scheduler.nowMs - notedAtMs < REFUTED_AFTER_MS,
  );
  const canKnowBetter = content !== SELDOM && isInTouch(simulation, place);
  if (!canKnowBetter && plausible.length >= CRASHES_UNTIL_QUARANTINE) return;
  wronglyRejected.push(`${content} after ${String(plausible.length)} crashes`);
}

function sendOnce(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  content: string,
  attempt: number,
  tried: Set<string>,
): void {
  const { scheduler, targets, random } = simulation;
  // A gateway without the listing of the store does not serve.
  if (gateway.readRevision < 0) return;
  if (isQuarantinedContent(gateway.memory, content)) {
    if (content !== CULPRIT && !place.isCutFromTargets) {
      noteRejection(simulation, place, content);
    }
    return;
  }
  const candidates = targets.filter(({ id, isListed }) => isListed && !tried.has(id));
  const target = candidates[Math.floor(random() * candidates.length)];
  if (target === undefined) return;
  tried.add(target.id);
  const sentAtMs = scheduler.nowMs;
  if (content === CULPRIT && target.isUp && isInTouch(simulation, place)) {
    simulation.culpritArrivalsAtMs.push(sentAtMs);
  }
  const retry = (): void => {
    if (attempt >= MAX_ATTEMPTS) return;
    sendOnce(simulation, place, gateway, content, attempt + 1, tried);
  };
  if (place.isCutFromTargets) return;
  run(simulation, target, content, PATIENCE_MS, {
    place: place.index,
    onAnswer: (isSuccess) => {
      later(simulation, gateway, 0, () => {
        receiveAnswer(simulation, place, gateway, content, target, sentAtMs, isSuccess);
      });
    },
    onEnd: (end) => {
      later(simulation, gateway, 0, () => {
        suspectTarget(simulation, place, gateway, content, target, end);
        later(simulation, gateway, waitBeforeRetryMs(gateway, content), retry);
      });
    },
    onRefused: () => {
      later(simulation, gateway, 0, retry);
    },
  });
}

/** A content that one more crash quarantines is not sent again before that crash is decided. */
function waitBeforeRetryMs({ memory }: SimulatedGateway, content: string): number {
  return isNearQuarantine(memory, content) ? PROBE_MS + PROBE_TIMEOUT_MS : 0;
}

function receiveAnswer(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  content: string,
  target: SimulatedTarget,
  sentAtMs: number,
  isSuccess: boolean,
): void {
  const { options, scheduler } = simulation;
  recordLife(gateway.evidence, target.id, sentAtMs);
  const refuted = options.recordAnswerOf(gateway.memory, target.id, sentAtMs);
  if (refuted.length > 0) forget(simulation, place, gateway, refuted);
  if (!options.clears(isSuccess)) return;
  const notes = markContentHarmless(gateway.memory, content, scheduler.nowMs);
  if (notes.length > 0) forget(simulation, place, gateway, notes);
}

function suspectTarget(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  content: string,
  target: SimulatedTarget,
  end: AttemptEnd,
): void {
  const { scheduler, options } = simulation;
  if (!options.suspiciousEnds.includes(end)) return;
  const endedAtMs = scheduler.nowMs;
  suspect(gateway.evidence, { content, target: target.id, end, endedAtMs });
  if (end === AttemptEnd.Abandoned) return;
  if (place.isCutFromTargets) {
    later(simulation, gateway, PROBE_MS + PROBE_TIMEOUT_MS, () => {
      noteDown(simulation, place, gateway, target);
    });
    return;
  }
  const probeMs = target.isUp
    ? PROBE_MS
    : PROBE_MS + PROBE_TIMEOUT_MS * Number(!simulation.closesConnections);
  later(simulation, gateway, probeMs, () => {
    if (target.isUp) recordReached(gateway.evidence, target.id, scheduler.nowMs);
    else noteDown(simulation, place, gateway, target);
  });
}

/** Records that a target is known to be down. */
export function noteDown(
  simulation: Simulation,
  place: Place,
  gateway: SimulatedGateway,
  { id }: SimulatedTarget,
): void {
  const confirmed = recordDown(gateway.evidence, id, simulation.scheduler.nowMs);
  for (const note of confirmed) noteCrash(simulation, place, gateway, note, CrashSource.Observed);
}
