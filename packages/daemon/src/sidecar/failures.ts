/** Failures that a sidecar returns to its callers. */
import { defineFailure } from '@cassiamast/coordination';

/** The target accepts no new work, for example because it has no engine. */
export const TARGET_NOT_SERVING = defineFailure({
  name: 'target-not-serving',
  title: 'The target takes no new work',
  message: (data: { readonly target: string; readonly reason: string }) =>
    `${data.target} takes no new work: ${data.reason}.`,
  hint: 'The entry tries another target.',
});
