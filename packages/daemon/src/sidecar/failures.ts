/** Failures a sidecar answers with. `mayHaveRun` in the data says whether work may have been done. */
import { defineFailure } from '@cassiamast/coordination';

/** The dispatch was meant for an earlier process in this slot. */
export const OTHER_INCARNATION = defineFailure({
  name: 'other-incarnation',
  title: 'The sidecar was restarted',
  message: (data: { readonly meant: number; readonly current: number }) =>
    `The dispatch was meant for incarnation ${String(data.meant)}, this is ${String(data.current)}.`,
  hint: 'Transient; the entry learns the new incarnation and dispatches again.',
});

/** No attempt of this id is known here. */
export const UNKNOWN_ATTEMPT = defineFailure({
  name: 'unknown-attempt',
  title: 'The attempt is not known here',
  message: (data: { readonly attemptId: string }) => `No attempt ${data.attemptId}.`,
  hint: 'The sidecar was restarted, or the attempt’s answer was dropped after its retention.',
});

/** The sidecar holds as many attempts as it may. */
export const ATTEMPTS_FULL = defineFailure({
  name: 'attempts-full',
  title: 'The sidecar holds as many attempts as it may',
  message: (data: { readonly limit: number }) => `All ${String(data.limit)} places are taken.`,
  hint: 'The entry tries another target.',
});

/** The target takes no new work. */
export const TARGET_NOT_SERVING = defineFailure({
  name: 'target-not-serving',
  title: 'The target takes no new work',
  message: (data: { readonly target: string; readonly reason: string }) =>
    `${data.target} takes no new work: ${data.reason}.`,
  hint: 'The entry tries another target.',
});

/** The engine broke off an attempt. */
export const ENGINE_FAILED = defineFailure({
  name: 'engine-failed',
  title: 'The engine broke the attempt off',
  message: (data: {
    readonly target: string;
    readonly cause: string;
    readonly mayHaveRun: boolean;
    /** Whether the engine itself went down, so that whatever ran there is suspect. */
    readonly crashed: boolean;
  }) => `${data.target}: ${data.cause}`,
  hint: 'The entry goes on at another target.',
});
