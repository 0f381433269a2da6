/**
 * All members of a deployment in one process on a virtual clock. Messages go through their real
 * encoding; links lose what the caller says.
 */
import type { ConfigEffect, MembershipEffect, MemberState } from '@cassiamast/coordination';
import {
  ConfigEffectKind,
  DATAGRAM_HEADER_BYTES,
  MembershipEffectKind,
  answerSync,
  configAnnounced,
  configDocumentRead,
  configFetchAnswered,
  configFetchFailed,
  configHeadChanged,
  configHeadRead,
  configHintsReceived,
  decodeMembershipMessage,
  encodeMembershipMessage,
  membershipWakeAtMs,
  receiveMembershipMessage,
  receiveSyncAnswer,
  serveConfigFetch,
  syncFailed,
  tickConfig,
  tickMembership,
} from '@cassiamast/coordination';
import { EventQueue } from './event-queue.js';
import { CALL_OVERHEAD_BYTES, Traffic } from './traffic.js';
import type { Shared, VirtualMember } from './virtual-member.js';
import {
  chooseWatcher,
  configContext,
  createVirtualMember,
  membershipContext,
} from './virtual-member.js';
import { SERVICE_MS, VirtualService } from './virtual-service.js';

/** One way between two members: a millisecond and a half, as between failure domains. */
const LINK_MS = 2;
const CONFIG_TICK_MS = 250;
const WATCHER_CHECK_MS = 1_000;
const FAILED_CALL_MS = 2_000;

/** What the fleet is made of. */
export interface FleetOptions extends Omit<Shared, 'nowMs'> {
  readonly size: number;
  readonly domains: number;
  readonly lossRatio: number;
  readonly onBelief: (observer: VirtualMember, about: string, state: MemberState) => void;
  readonly onVersion: (member: VirtualMember, version: number) => void;
}

/** The fleet. */
export class VirtualFleet {
  readonly queue = new EventQueue();
  readonly service = new VirtualService();
  readonly traffic: Traffic;
  readonly members: VirtualMember[] = [];
  private readonly byId = new Map<string, VirtualMember>();
  private readonly shared: Shared;

  constructor(private readonly options: FleetOptions) {
    this.traffic = new Traffic(options.size);
    this.shared = { ...options, nowMs: () => this.queue.nowMs };
    for (let index = 0; index < options.size; index += 1) {
      this.queue.at(1 + options.random() * 1_000, () => {
        this.start(index);
      });
    }
  }

  /** Members that were not killed. */
  living(): VirtualMember[] {
    return this.members.filter((member) => !member.killed);
  }

  private start(index: number): void {
    const member = createVirtualMember(index, this.options.domains, this.shared);
    this.members[index] = member;
    this.byId.set(member.id, member);
    this.scheduleMembership(member);
    this.everyMs(member, CONFIG_TICK_MS, () => {
      this.performConfig(member, tickConfig(member.config, configContext(member, this.shared)));
    });
    this.everyMs(member, WATCHER_CHECK_MS, () => {
      chooseWatcher(member, this.shared);
    });
  }

  private everyMs(member: VirtualMember, intervalMs: number, run: () => void): void {
    const again = (): void => {
      if (member.killed) return;
      run();
      this.queue.at(this.queue.nowMs + intervalMs, again);
    };
    this.queue.at(this.queue.nowMs + this.options.random() * intervalMs, again);
  }

  private scheduleMembership(member: VirtualMember): void {
    const wakeAtMs = Math.max(
      this.queue.nowMs + 1,
      Math.ceil(membershipWakeAtMs(member.membership)),
    );
    if (wakeAtMs >= member.tickAtMs) return;
    member.tickAtMs = wakeAtMs;
    this.queue.at(wakeAtMs, () => {
      if (member.killed || member.tickAtMs !== wakeAtMs) return;
      member.tickAtMs = Infinity;
      const context = membershipContext(member, this.shared);
      this.performMembership(member, tickMembership(member.membership, context));
      this.scheduleMembership(member);
    });
  }

  private performMembership(member: VirtualMember, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case MembershipEffectKind.SendDatagram:
          this.sendMembership(member, effect.to, encodeMembershipMessage(effect.message));
          break;
        case MembershipEffectKind.RequestSync:
          this.sync(member, effect);
          break;
        case MembershipEffectKind.MemberChanged:
          this.options.onBelief(member, effect.member.id, effect.member.state);
          break;
        case MembershipEffectKind.HintsReceived: {
          const context = configContext(member, this.shared);
          const { from, hints, askedAtMs } = effect;
          const heard = configHintsReceived(member.config, from, hints, askedAtMs, context);
          this.performConfig(member, heard);
          break;
        }
        case MembershipEffectKind.Refused:
          break;
      }
    }
  }

  private datagram(
    from: VirtualMember,
    to: string,
    method: string,
    params: unknown,
    receive: (target: VirtualMember, params: unknown) => void,
  ): void {
    const text = JSON.stringify({ jsonrpc: '2.0', method, params });
    const bytes = Buffer.byteLength(text) + DATAGRAM_HEADER_BYTES;
    this.traffic.count(from.index, method, bytes, this.queue.nowMs);
    const target = this.byId.get(to);
    if (target === undefined || this.options.random() < this.options.lossRatio) return;
    this.queue.at(this.queue.nowMs + LINK_MS, () => {
      if (target.killed) return;
      const parsed = JSON.parse(text) as { params: unknown };
      receive(target, parsed.params);
    });
  }

  private sendMembership(
    from: VirtualMember,
    to: string,
    wire: { readonly method: string; readonly params: readonly unknown[] },
  ): void {
    this.datagram(from, to, wire.method, wire.params, (target, params) => {
      const message = decodeMembershipMessage(wire.method, params)._unsafeUnwrap();
      const context = membershipContext(target, this.shared);
      const effects = receiveMembershipMessage(target.membership, from.id, message, context);
      this.performMembership(target, effects);
      this.scheduleMembership(target);
    });
  }

  private call<Answer>(
    from: VirtualMember,
    to: string,
    kind: string,
    request: unknown,
    serve: (target: VirtualMember) => { readonly answer: Answer; readonly bytes: number } | null,
    done: (answer: Answer | null) => void,
  ): void {
    const requestBytes = JSON.stringify(request).length;
    this.traffic.count(from.index, kind, requestBytes + CALL_OVERHEAD_BYTES / 2, this.queue.nowMs);
    const target = this.byId.get(to);
    if (target === undefined || target.killed) {
      this.queue.at(this.queue.nowMs + FAILED_CALL_MS, () => {
        if (!from.killed) done(null);
      });
      return;
    }
    this.queue.at(this.queue.nowMs + 2 * LINK_MS, () => {
      const served = target.killed ? null : serve(target);
      const bytes = (served?.bytes ?? 100) + CALL_OVERHEAD_BYTES / 2;
      this.traffic.count(target.index, kind, bytes, this.queue.nowMs);
      if (!from.killed) done(served?.answer ?? null);
    });
  }

  private sync(
    member: VirtualMember,
    effect: Extract<MembershipEffect, { kind: MembershipEffectKind.RequestSync }>,
  ): void {
    const { to, request } = effect;
    const serve = (target: VirtualMember) => {
      const context = membershipContext(target, this.shared);
      const { answer, effects } = answerSync(target.membership, request, context);
      this.performMembership(target, effects);
      this.scheduleMembership(target);
      if (answer.isErr()) return null;
      return { answer: answer.value, bytes: JSON.stringify(answer.value).length };
    };
    this.call(member, to, 'member.sync', request, serve, (answer) => {
      const context = membershipContext(member, this.shared);
      if (answer === null) syncFailed(member.membership, context);
      else {
        const effects = receiveSyncAnswer(member.membership, to, answer, context);
        this.performMembership(member, effects);
      }
      this.scheduleMembership(member);
    });
  }

  private performConfig(member: VirtualMember, effects: readonly ConfigEffect[]): void {
    for (const effect of effects) this.performOneConfig(member, effect);
  }

  private answerLater(member: VirtualMember, answer: () => readonly ConfigEffect[]): void {
    this.queue.at(this.queue.nowMs + SERVICE_MS, () => {
      if (!member.killed) this.performConfig(member, answer());
    });
  }

  private performOneConfig(member: VirtualMember, effect: ConfigEffect): void {
    const { config } = member;
    const context = () => configContext(member, this.shared);
    switch (effect.kind) {
      case ConfigEffectKind.PutInForce:
        this.options.onVersion(member, effect.configuration.version);
        return;
      case ConfigEffectKind.Announce:
        this.datagram(member, effect.to, 'config.announce', [effect.version], (target, params) => {
          const [version] = params as [number];
          const now = configContext(target, this.shared);
          this.performConfig(target, configAnnounced(target.config, member.id, version, now));
        });
        return;
      case ConfigEffectKind.Fetch:
        this.fetch(member, effect);
        return;
      case ConfigEffectKind.ReadHead:
        this.service.count('read');
        this.answerLater(member, () => configHeadRead(config, this.service.head, context()));
        return;
      case ConfigEffectKind.ReadDocument:
        this.service.count('read');
        this.answerLater(member, () =>
          configDocumentRead(config, this.service.document, context()),
        );
        return;
      case ConfigEffectKind.Watch:
        this.service.count('watch');
        this.service.watchers.add(member.index);
        return;
      case ConfigEffectKind.StopWatch:
        this.service.watchers.delete(member.index);
        return;
      case ConfigEffectKind.NewWork:
      case ConfigEffectKind.Emit:
        return;
    }
  }

  private fetch(
    member: VirtualMember,
    effect: Extract<ConfigEffect, { kind: ConfigEffectKind.Fetch }>,
  ): void {
    const serve = (target: VirtualMember) => {
      const served = serveConfigFetch(target.config, effect.request);
      if (served.isErr()) return null;
      return { answer: served.value, bytes: JSON.stringify(served.value).length };
    };
    this.call(member, effect.to, 'config.fetch', effect.request, serve, (answer) => {
      const context = configContext(member, this.shared);
      const effects =
        answer === null
          ? configFetchFailed(member.config, context)
          : configFetchAnswered(member.config, answer, context);
      this.performConfig(member, effects);
    });
  }

  /** Tells the watches of the new head. */
  notifyWatchers(): void {
    for (const index of this.service.watchers) {
      const member = this.members[index];
      if (member === undefined || member.killed) continue;
      this.answerLater(member, () =>
        configHeadChanged(member.config, this.service.head, configContext(member, this.shared)),
      );
    }
  }
}
