/** Failures of planned changes. */
import { defineFailure } from '../failures/failure.js';

/** The limit of queued change requests is reached. */
export const tooManyChanges = defineFailure({
  name: 'too-many-changes',
  title: 'Too many planned changes are waiting',
  message: (data: { maxChanges: number; change: string }) =>
    `${data.change} was not taken: ${String(data.maxChanges)} changes are already waiting.`,
  hint: 'Wait until some have ended; the time line shows what each waits for.',
});
