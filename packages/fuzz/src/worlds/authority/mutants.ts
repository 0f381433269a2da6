/** Guards that can be taken away one at a time, to show that the fuzzer misses none of them. */
import type {
  ConfigGuards,
  GateGuards,
  LeaseGuards,
  MembershipGuards,
} from '@cassiamast/coordination';
import type { AuthorityOptions } from './simulation.js';

type Mutate = (options: AuthorityOptions) => AuthorityOptions;

function membership(guards: Partial<MembershipGuards>): Mutate {
  return (options) => {
    const { membership: before } = options;
    return { ...options, membership: { ...before, guards: { ...before.guards, ...guards } } };
  };
}

function config(guards: Partial<ConfigGuards>): Mutate {
  return (options) => {
    const { config: before } = options;
    return { ...options, config: { ...before, guards: { ...before.guards, ...guards } } };
  };
}

function lease(guards: Partial<LeaseGuards>): Mutate {
  return (options) => {
    const { lease: before } = options;
    return { ...options, lease: { ...before, guards: { ...before.guards, ...guards } } };
  };
}

function gate(guards: Partial<GateGuards>): Mutate {
  return (options) => {
    const { gate: before } = options;
    return { ...options, gate: { ...before, guards: { ...before.guards, ...guards } } };
  };
}

/** The mutants by name; docs/design/fuzzing-authority.md says what each stands for. */
export const AUTHORITY_MUTANTS: Readonly<Record<string, Mutate>> = {
  'old-news-counts': membership({ supersedes: () => true }),
  'pause-unnoticed': membership({ pauseThresholdMs: Infinity }),
  'silence-blames-others': membership({ suspectsLocallyWhenIsolated: false }),
  'never-contradicts': membership({ refutes: false }),
  'dead-not-probed': membership({ probesDead: false }),
  'any-version-replaces': config({ mayReplace: () => true }),
  'never-cut-off': config({ mayAcceptWork: () => true }),
  'delayed-freshness-counts': config({ freshnessNeedsOwnRequest: false }),
  'editor-forgets-itself': (options) => ({ ...options, editorReadsBack: false }),
  'lease-trusted-blindly': lease({ stopsBeforeExpiry: false }),
  'no-wait-out': lease({ waitsForOldTickets: false }),
  'obeys-at-once': gate({ readsFenceAfterStart: false }),
  'ticket-not-checked': gate({ ticketIsChecked: false }),
  'lease-not-read-back': gate({ leaseIsReadBack: false }),
  'no-read-after-pause': gate({ repeatsStaleRead: false }),
  'many-orders-at-once': gate({ oneAtATime: false }),
  'lost-answer-sent-again': gate({ readsEngineState: false }),
};
