/**
 * Runs the membership state machine: feeds it ticks and datagrams, executes its effects, and
 * notifies the rest of the process of changes of members.
 */
import {
  type Failure,
  type Hashing,
  type Hints,
  type Member,
  MemberState,
  type MembershipContext,
  type MembershipEffect,
  MembershipEffectKind,
  MEMBERSHIP_OPTIONS,
  type MembershipState,
  type Random,
  type SelfDescription,
  type SyncAnswer,
  type SyncRequest,
  announceLeaving,
  announceLeft,
  answerSync,
  createMembership,
  decodeMembershipMessage,
  encodeMembershipMessage,
  EventKind,
  findMember,
  membersIn,
  membershipWakeAtMs,
  presentMembers,
  receiveMembershipMessage,
  receiveSyncAnswer,
  syncFailed,
  tickMembership,
} from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import { RpcMethod } from '../protocol/methods.js';
import type { Child } from '../supervisor/supervisor.js';
import type { Datagrams } from './datagrams.js';
import type { RpcClient } from './rpc-client.js';
import type { Telemetry } from './telemetry.js';

const SYNC_TIMEOUT_MS = 2_000;
/** The longest time between ticks; the state machine requests earlier ticks as it needs them. */
const MAX_SLEEP_MS = 1_000;
const MIN_SLEEP_MS = 5;
/** Time for the last announcement of a leaving member to be sent before its socket closes. */
const LEFT_ANNOUNCEMENT_MS = 50;

/** Dependencies of the driver. */
export interface MembershipDriverOptions {
  readonly self: SelfDescription;
  readonly peers: readonly string[];
  readonly nowMs: () => number;
  readonly random: Random;
  readonly hashing: Hashing;
  readonly datagrams: () => Datagrams;
  readonly rpc: RpcClient;
  readonly telemetry: Telemetry;
  readonly hints: () => Hints;
  readonly onHints: (from: string, hints: Hints, askedAtMs: number | null) => void;
  /** Called after a member joined, left or changed. */
  readonly onMembers: (changed: Member) => void;
}

/** The membership of this process. */
export interface MembershipDriver {
  readonly child: Child;
  readonly receive: (from: string, method: string, params: unknown) => void;
  readonly answerSync: (request: SyncRequest) => Result<SyncAnswer, Failure>;
  /** Members that are alive, suspect or leaving, including this process. */
  readonly present: () => readonly Member[];
  readonly find: (memberId: string) => Member | undefined;
  /** All known members, including dead ones that are still stored. */
  readonly all: () => readonly Member[];
  readonly state: MembershipState;
  readonly announceLeaving: () => void;
}

/** Creates the driver. The state exists immediately; ticks run only while the child is started. */
export function createMembershipDriver(options: MembershipDriverOptions): MembershipDriver {
  const { hashing, random } = options;
  const context = (): MembershipContext => ({
    nowMs: options.nowMs(),
    random,
    hash32: hashing.hash32,
    hints: options.hints,
  });
  const state = createMembership(options.self, options.peers, MEMBERSHIP_OPTIONS, context());
  let timer: NodeJS.Timeout | null = null;

  function perform(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) performOne(effect);
  }

  function performOne(effect: MembershipEffect): void {
    switch (effect.kind) {
      case MembershipEffectKind.SendDatagram: {
        const { method, params } = encodeMembershipMessage(effect.message);
        options.datagrams().send(effect.to, method, params);
        return;
      }
      case MembershipEffectKind.RequestSync:
        void requestSync(effect.to, effect.request);
        return;
      case MembershipEffectKind.MemberChanged: {
        const { member, previous, reason } = effect;
        options.telemetry.emit({
          kind: EventKind.MemberChanged,
          target: member.target,
          reason,
          figures: { member: member.id, from: previous ?? 'unknown', to: member.state },
        });
        options.onMembers(member);
        return;
      }
      case MembershipEffectKind.HintsReceived:
        options.onHints(effect.from, effect.hints, effect.askedAtMs);
        return;
      case MembershipEffectKind.Refused:
        options.telemetry.count('membership_refused_total');
    }
  }

  async function requestSync(to: string, request: SyncRequest): Promise<void> {
    const answer = await options.rpc.call<SyncAnswer>(to, RpcMethod.MemberSync, request, {
      timeoutMs: SYNC_TIMEOUT_MS,
    });
    answer.match(
      (page) => {
        perform(receiveSyncAnswer(state, to, page, context()));
      },
      () => {
        syncFailed(state, context());
      },
    );
    schedule();
  }

  function schedule(): void {
    if (timer === null) return;
    clearTimeout(timer);
    const sleepMs = membershipWakeAtMs(state) - options.nowMs();
    timer = setTimeout(tick, Math.min(MAX_SLEEP_MS, Math.max(MIN_SLEEP_MS, sleepMs)));
  }

  function tick(): void {
    perform(tickMembership(state, context()));
    schedule();
  }

  return {
    state,
    receive: (from, method, params) => {
      decodeMembershipMessage(method, params).match(
        (message) => {
          perform(receiveMembershipMessage(state, from, message, context()));
          schedule();
        },
        () => {
          options.telemetry.count('membership_malformed_total');
        },
      );
    },
    answerSync: (request) => {
      const { answer, effects } = answerSync(state, request, context());
      perform(effects);
      schedule();
      return answer;
    },
    present: () => presentMembers(state),
    all: () => membersIn(state, ...Object.values(MemberState)),
    find: (memberId) => findMember(state, memberId),
    announceLeaving: () => {
      perform(announceLeaving(state, context()));
    },
    child: {
      name: 'membership',
      start: () => {
        timer = setTimeout(tick, MIN_SLEEP_MS);
        return Promise.resolve();
      },
      stop: async () => {
        if (timer !== null) clearTimeout(timer);
        timer = null;
        perform(announceLeft(state, context()));
        await new Promise((resolve) => setTimeout(resolve, LEFT_ANNOUNCEMENT_MS));
      },
    },
  };
}
