/**
 * Measures the pure control parts at one size: a mass start, quiet time, single failures, edits and
 * the loss of a failure domain.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Configuration, ConfigurationDocument, Hashing } from '@cassiamast/coordination';
import { MemberState, TargetKind, seededRandom } from '@cassiamast/coordination';
import type { TrafficReport } from './traffic.js';
import { round } from './traffic.js';
import { VirtualFleet } from './virtual-fleet.js';
import { domainOf, memberId } from './virtual-member.js';

/** Share of members that stand beside targets: 730 of 1,140. */
const TARGET_RATIO = 730 / 1_140;
const SERVICES = 5;
const SETTLE_LIMIT_MS = 180_000;
const QUIET_MS = 30_000;
const KILLS = 3;
const EDITS = 3;
const EVENT_SPACING_MS = 15_000;
const DOMAIN_LOSS_MS = 60_000;

/** The result at one size. */
export interface PureResult {
  readonly members: number;
  readonly domains: number;
  readonly lossRatio: number;
  /** Virtual time from the mass start until everybody knew everybody and held the configuration. */
  readonly joinMs: number | null;
  readonly quiet: TrafficReport;
  readonly cpuUsPerS: number;
  readonly heapKbPerMember: number;
  readonly keyValueCallsPerS: Readonly<Record<string, number>>;
  readonly waitingWatches: number;
  /** Suspicions of members that lived, per member and hour, in quiet time with loss. */
  readonly wrongSuspicionsPerHour: number;
  readonly wrongDeaths: number;
  readonly firstSuspectMs: Spread;
  readonly allSuspectMs: Spread;
  readonly allDeadMs: Spread;
  readonly editSpreadMs: Spread;
  readonly editCpuMsPerMember: number;
  readonly documentBytes: number;
  readonly domainLoss: {
    readonly lostMembers: number;
    /** Until the survivors avoided 99 in 100 of the lost members. */
    readonly mostAvoidedMs: number | null;
    /** Until every survivor avoided every lost member; null when not within a minute. */
    readonly allAvoidedMs: number | null;
    readonly allDeadMs: number | null;
    readonly traffic: TrafficReport;
    readonly wrongDeaths: number;
  };
}

/** Median and worst of some runs. */
export interface Spread {
  readonly median: number;
  readonly worst: number;
}

function spread(values: readonly number[]): Spread {
  const sorted = [...values].sort((one, other) => one - other);
  const median = sorted[Math.floor(sorted.length / 2)] ?? NaN;
  return { median: round(median), worst: round(sorted.at(-1) ?? NaN) };
}

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}

function heapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers;
}

function cpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

function configurationOf(members: number, domains: number, withdrawn: number): Configuration {
  const targets = Math.max(SERVICES, Math.round(members * TARGET_RATIO));
  const services = Array.from({ length: SERVICES }, (_, service) => ({
    name: `service-${String(service)}`,
    kind: TargetKind.ModelEngine,
    dependsOn: [],
    models: [],
    calls: [],
    targets: Array.from({ length: Math.floor(targets / SERVICES) }, (_unused, place) => {
      const index = place * SERVICES + service;
      const [host = '', port = ''] = memberId(index).split(':');
      return {
        name: `target-${String(index)}`,
        failureDomain: domainOf(index, domains),
        sidecar: { host, port: Number(port) },
        backend: { host, port: 8_000 },
        checksFencing: true,
        withdrawn: index === withdrawn,
      };
    }),
    goals: { firstTokenMs: 360, interTokenMs: 80 },
    floorTargets: 1,
    rolesMayChange: true,
    priority: 1,
    deadlineMs: 60_000,
    retryBudgetRatio: 0.1,
  }));
  const workspaces = Array.from({ length: Math.ceil((members * 960) / 1_140) }, (_, index) => ({
    name: `workspace-${String(index)}`,
    share: 1,
    apiKeySha256: [String(index).padStart(64, '0')],
    maxTokensPerS: null,
  }));
  const limits = {
    answerRetentionMs: 600_000,
    maxPromptTokens: 32_768,
    maxOutputTokens: 4_096,
    maxBodyBytes: 1_048_576,
    drainMs: 30_000,
  };
  return { services, workspaces, limits };
}

/** One measurement under way. */
class Measurement {
  readonly fleet: VirtualFleet;
  readonly truth = new Set<string>();
  wrongSuspicions = 0;
  wrongDeaths = 0;
  version = 0;
  private lastBelief = new Map<string, { atMs: number; states: Map<string, MemberState> }>();
  private inForceAtMs = new Map<string, number>();

  constructor(
    readonly size: number,
    readonly domains: number,
    readonly lossRatio: number,
    seed: number,
    hashing: Hashing,
  ) {
    this.fleet = new VirtualFleet({
      size,
      domains,
      lossRatio,
      random: seededRandom(seed),
      hashing,
      onBelief: (observer, about, state) => {
        this.noteBelief(observer.id, about, state);
      },
      onVersion: (member, version) => {
        if (version === this.version) this.inForceAtMs.set(member.id, this.nowMs);
      },
    });
  }

  get nowMs(): number {
    return this.fleet.queue.nowMs;
  }

  private noteBelief(observer: string, about: string, state: MemberState): void {
    if (this.truth.has(about)) {
      this.lastBelief.get(about)?.states.set(observer, state);
      return;
    }
    if (state === MemberState.Suspect) this.wrongSuspicions += 1;
    if (state === MemberState.Dead) this.wrongDeaths += 1;
  }

  run(forMs: number): void {
    this.fleet.queue.runUntil(this.nowMs + forMs);
  }

  /** Runs in small steps until a condition holds; gives the time it took, or null. */
  runUntil(condition: () => boolean, limitMs: number, stepMs = 20): number | null {
    const sinceMs = this.nowMs;
    while (this.nowMs - sinceMs < limitMs) {
      if (condition()) return this.nowMs - sinceMs;
      this.run(stepMs);
    }
    return condition() ? this.nowMs - sinceMs : null;
  }

  edit(): ConfigurationDocument {
    this.version += 1;
    this.inForceAtMs = new Map();
    const document = {
      version: this.version,
      editId: `edit-${String(this.version)}`,
      text: '',
      compiled: configurationOf(this.size, this.domains, this.version),
      editedAtMs: 0,
      editedBy: 'operator',
    };
    this.fleet.service.accept(document);
    this.fleet.notifyWatchers();
    return document;
  }

  inForceEverywhere(): boolean {
    return this.inForceAtMs.size >= this.fleet.living().length;
  }

  kill(indexes: readonly number[]): void {
    for (const index of indexes) {
      const member = this.fleet.members[index];
      if (member === undefined) continue;
      member.killed = true;
      this.truth.add(member.id);
      this.lastBelief.set(member.id, { atMs: this.nowMs, states: new Map() });
    }
  }

  /** Observers that no longer give new work to a killed member. */
  avoiders(id: string): number {
    return this.observersOf(id, (state) => state !== MemberState.Alive);
  }

  believersInDeath(id: string): number {
    return this.observersOf(id, (state) => state === MemberState.Dead);
  }

  private observersOf(id: string, matches: (state: MemberState) => boolean): number {
    const beliefs = this.lastBelief.get(id)?.states ?? new Map<string, MemberState>();
    let count = 0;
    for (const state of beliefs.values()) if (matches(state)) count += 1;
    return count;
  }

  /** Whether the news of the start has been told. */
  newsIsOld(): boolean {
    return this.fleet
      .living()
      .every(({ membership: { updateQueue } }) => updateQueue.repeated.size === 0);
  }

  knowsAll(): boolean {
    const living = this.fleet.living();
    if (living.length < this.size) return false;
    return living.every(
      (member) =>
        member.membership.records.size >= this.size - 1 &&
        member.config.inForce?.version === this.version,
    );
  }
}

function measureKills(measurement: Measurement, firstIndex: number) {
  const first: number[] = [];
  const suspect: number[] = [];
  const dead: number[] = [];
  for (let kill = 0; kill < KILLS; kill += 1) {
    const index = firstIndex + kill;
    const id = memberId(index);
    const sinceMs = measurement.nowMs;
    measurement.kill([index]);
    const others = measurement.fleet.living().length;
    const took = (condition: () => boolean): number => {
      const more = measurement.runUntil(condition, EVENT_SPACING_MS * 2);
      return more === null ? NaN : measurement.nowMs - sinceMs;
    };
    first.push(took(() => measurement.avoiders(id) > 0));
    suspect.push(took(() => measurement.avoiders(id) >= others));
    dead.push(took(() => measurement.believersInDeath(id) >= others));
  }
  return { first: spread(first), suspect: spread(suspect), dead: spread(dead) };
}

function measureEdits(measurement: Measurement) {
  const times: number[] = [];
  let cpu = 0;
  for (let edit = 0; edit < EDITS; edit += 1) {
    measurement.run(EVENT_SPACING_MS / 3);
    const startedUs = cpuUs();
    measurement.edit();
    const took = measurement.runUntil(() => measurement.inForceEverywhere(), 60_000, 5);
    cpu += cpuUs() - startedUs;
    times.push(took ?? NaN);
  }
  const members = measurement.fleet.living().length;
  return { times: spread(times), cpuMsPerMember: round(cpu / 1_000 / EDITS / members) };
}

function sum(indexes: readonly number[], of: (index: number) => number): number {
  return indexes.reduce((total, index) => total + of(index), 0);
}

function measureDomainLoss(measurement: Measurement): PureResult['domainLoss'] {
  const domain = domainOf(0, measurement.domains);
  const lost = measurement.fleet
    .living()
    .filter((member) => member.failureDomain === domain)
    .map((member) => member.index);
  const deathsBefore = measurement.wrongDeaths;
  measurement.fleet.traffic.reset(measurement.nowMs);
  const sinceMs = measurement.nowMs;
  measurement.kill(lost);
  const others = measurement.fleet.living().length;
  const everywhere = (count: (id: string) => number): boolean =>
    lost.every((index) => count(memberId(index)) >= others);
  const step = 250;
  const pairs = lost.length * others;
  const mostAvoided = measurement.runUntil(
    () => sum(lost, (index) => measurement.avoiders(memberId(index))) >= pairs * 0.99,
    DOMAIN_LOSS_MS,
    step,
  );
  const allMore = measurement.runUntil(
    () => everywhere((id) => measurement.avoiders(id)),
    DOMAIN_LOSS_MS,
    step,
  );
  const avoided = allMore === null ? null : measurement.nowMs - sinceMs;
  const deadMore = measurement.runUntil(
    () => everywhere((id) => measurement.believersInDeath(id)),
    DOMAIN_LOSS_MS,
    step,
  );
  return {
    lostMembers: lost.length,
    mostAvoidedMs: mostAvoided,
    allAvoidedMs: avoided,
    allDeadMs: deadMore === null ? null : measurement.nowMs - sinceMs,
    traffic: measurement.fleet.traffic.report(measurement.nowMs),
    wrongDeaths: measurement.wrongDeaths - deathsBefore,
  };
}

/** Measures one size. */
export function measurePure(
  size: number,
  lossRatio: number,
  seed: number,
  hashing: Hashing,
): PureResult {
  const domains = size >= 100 ? 7 : 3;
  const before = heapBytes();
  const measurement = new Measurement(size, domains, lossRatio, seed, hashing);
  const document = measurement.edit();
  const joinMs = measurement.runUntil(() => measurement.knowsAll(), SETTLE_LIMIT_MS, 500);
  measurement.runUntil(() => measurement.newsIsOld(), SETTLE_LIMIT_MS, 1_000);
  measurement.run(QUIET_MS / 2);
  const heap = heapBytes() - before;

  const { fleet } = measurement;
  fleet.traffic.reset(measurement.nowMs);
  fleet.service.resetCounts();
  measurement.wrongSuspicions = 0;
  measurement.wrongDeaths = 0;
  const startedUs = cpuUs();
  measurement.run(QUIET_MS);
  const cpu = cpuUs() - startedUs;
  const quiet = fleet.traffic.report(measurement.nowMs);
  const quietS = QUIET_MS / 1_000;
  const calls = Object.entries(fleet.service.calls).map(
    ([kind, count]) => [kind, round(count / quietS)] as const,
  );
  const { wrongSuspicions, wrongDeaths } = measurement;

  const edits = measureEdits(measurement);
  const kills = measureKills(measurement, Math.floor(size / 2));
  const domainLoss = measureDomainLoss(measurement);
  return {
    members: size,
    domains,
    lossRatio,
    joinMs,
    quiet,
    cpuUsPerS: round(cpu / quietS / size),
    heapKbPerMember: round(heap / 1_024 / size),
    keyValueCallsPerS: Object.fromEntries(calls),
    waitingWatches: fleet.service.watchers.size,
    wrongSuspicionsPerHour: round((wrongSuspicions / size / quietS) * 3_600),
    wrongDeaths,
    firstSuspectMs: kills.first,
    allSuspectMs: kills.suspect,
    allDeadMs: kills.dead,
    editSpreadMs: edits.times,
    editCpuMsPerMember: edits.cpuMsPerMember,
    documentBytes: JSON.stringify(document.compiled).length,
    domainLoss,
  };
}
