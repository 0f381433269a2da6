/**
 * Withholds control calls from engines that must not be sent anything: reports, cache listings and
 * orders are requests too, and an engine that leaves or backs off wants none of them.
 */
import type { Failure, TargetEntry } from '@cassiamast/coordination';
import { ENGINE_CALL_FAILED, type EngineControlPort } from '@cassiamast/ports';
import { type ResultAsync, errAsync } from 'neverthrow';

/** Wraps the control calls; a withheld call fails without reaching the engine. */
export function withholdControlCalls(
  control: EngineControlPort,
  withholdReason: (target: TargetEntry) => string | null,
): EngineControlPort {
  function guard<Answer>(
    target: TargetEntry,
    name: string,
    call: () => ResultAsync<Answer, Failure>,
  ): ResultAsync<Answer, Failure> {
    const reason = withholdReason(target);
    if (reason === null) return call();
    const detail = `withheld, ${reason}`;
    return errAsync(
      ENGINE_CALL_FAILED.of({ target: target.id, call: name, mayHaveRun: false, detail }),
    );
  }

  return {
    onAnswer: control.onAnswer,
    readStatus: (target) => guard(target, 'status', () => control.readStatus(target)),
    readCache: (target) => guard(target, 'cache', () => control.readCache(target)),
    orderPhase: (target, phase, authority, ordersAccepted) =>
      guard(target, 'order', () => control.orderPhase(target, phase, authority, ordersAccepted)),
  };
}
