/**
 * Guards that can be taken away one at a time, to show that the fuzzer misses none of them.
 */
import { HolderReplyKind, SequenceVerdict } from '@cassiamast/coordination';
import type { AllHoldersDone } from '@cassiamast/coordination';
import type { SimulationOptions } from './simulation.js';

/** Takes one guard away. */
type Mutate = (options: SimulationOptions) => SimulationOptions;

const always = (): boolean => true;

const oneHolderDone: AllHoldersDone = (replies) =>
  [...replies.values()].some((reply) => reply.kind === HolderReplyKind.Done);

/** The mutants by name; docs/design/fuzzing.md says what each stands for. */
export const REQUEST_MUTANTS: Readonly<Record<string, Mutate>> = {
  'proceed-after-one-holder': (options) => ({
    ...options,
    drive: { ...options.drive, mayProceed: oneHolderDone },
  }),
  'tell-end-before-holders': (options) => ({
    ...options,
    host: { ...options.host, mayReportEnd: always },
  }),
  'tell-answer-of-one-holder': (options) => ({
    ...options,
    drive: { ...options.drive, mayDeliverAnswer: always },
  }),
  'splice-any-text': (options) => ({
    ...options,
    drive: { ...options.drive, fitsAnswer: always },
  }),
  'resume-any-text': (options) => ({
    ...options,
    drive: { ...options.drive, matchesResume: always },
  }),
  'repeat-any-call': (options) => ({
    ...options,
    drive: { ...options.drive, mayRunAgain: always },
  }),
  'run-any-dispatch': (options) => ({
    ...options,
    host: { ...options.host, judgeSequence: () => SequenceVerdict.Fresh },
  }),
  'finish-any-attempt': (options) => ({
    ...options,
    holder: { ...options.holder, acceptsFinish: always },
  }),
  'note-any-attempt': (options) => ({
    ...options,
    holder: { ...options.holder, acceptsNote: always },
  }),
  'claim-over-others': (options) => ({
    ...options,
    aggregator: { ...options.aggregator, compareOf: () => null },
  }),
  'absence-assumed': (options) => ({ ...options, provesAbsence: always }),
  'suspects-with-others': (options) => ({
    ...options,
    host: { ...options.host, mayStartBeside: always },
  }),
  'many-lone-runs': (options) => ({
    ...options,
    poison: { ...options.poison, mayBeginLoneRun: always },
  }),
  'never-convict': (options) => ({
    ...options,
    drive: { ...options.drive, isConvicted: () => false },
    poison: { ...options.poison, isConvicted: () => false },
  }),
  'retry-without-budget': (options) => ({
    ...options,
    drive: { ...options.drive, withdrawRetry: always },
  }),
};
