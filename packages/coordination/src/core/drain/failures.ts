/** Failures of planned change. */
import { defineFailure } from '../failures/failure.js';

/** More changes are asked for than are kept. */
export const tooManyChanges = defineFailure({
  name: 'too-many-changes',
  title: 'Too many planned changes are waiting',
  message: (data: { maxChanges: number; change: string }) =>
    `${data.change} was not taken: ${String(data.maxChanges)} changes are already waiting.`,
  hint: 'Wait until some have ended; the time line shows what each waits for.',
});
