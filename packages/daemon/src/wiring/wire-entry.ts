/**
 * Wires an entry: creates its parts, connects their callbacks and returns them in the order in which
 * the supervisor starts them.
 */
import { randomUUID } from 'node:crypto';
import {
  type Configuration,
  DEFAULT_REQUEST_MACHINE_OPTIONS,
  type RequestContext,
  type CallerRequest,
  EventKind,
  MemberKind,
  type RetryBudget,
  type RetryOptions,
  type StatusQuery,
  createRetryBudget,
  type WorkspaceSpec,
} from '@cassiamast/coordination';
import { createVmListClient, createWeightStoreClient } from '@cassiamast/ports';
import { type Authenticate, createAuthenticate } from '../node/authenticate.js';
import { createCallerServer } from '../entry/caller-server.js';
import { createClaimDriver } from '../entry/claim-driver.js';
import { createContacts } from '../entry/contacts.js';
import { createEntryCounters } from '../entry/entry-counters.js';
import { readServices } from '../entry/entry-status.js';
import { createLoadSubscriptions } from '../entry/load-subscriptions.js';
import { createPolicies } from '../entry/policies.js';
import { MAX_ACTIVE_REQUESTS, createRequests } from '../entry/request-table.js';
import type { RunServices } from '../entry/run-services.js';
import { createSessionDriver } from '../entry/session-driver.js';
import { setTargetGauges } from '../entry/target-gauges.js';
import { createTargetDirectory } from '../entry/target-directory.js';
import { formatAddress } from '../node/address.js';
import { createControlServer } from '../node/control-server.js';
import { allowNetworks } from '../node/networks.js';
import { type ProcessStatusOptions, readStatus } from '../node/process-status.js';
import { createPeriodic } from '../node/timers.js';
import { type VmListDriver, createVmListDriver } from '../node/vm-list-driver.js';
import { createPlanning } from '../planning/planning.js';
import { decodeLoad } from '../protocol/load.js';
import { RpcMethod } from '../protocol/methods.js';
import type { EntrySettings } from '../settings/settings.js';
import type { Child } from '../supervisor/supervisor.js';
import type { ProcessContext } from './process-context.js';
import { wireMember } from './wire-member.js';

const QUEUE_PUMP_INTERVAL_MS = 10;
const SHEDDING_INTERVAL_MS = 250;
const TARGET_GAUGES_INTERVAL_MS = 1_000;
/**
 * After this time an entry serves even if it has met at most half of its targets, so that an entry
 * which restarts in a fleet that has lost half of its targets still serves the rest.
 */
const JOIN_GRACE_MS = 10_000;
const LEDGER_READ_INTERVAL_MS = 60_000;
/** Short, because nothing is dispatched before the first successful read of the poison ledger. */
const LEDGER_RETRY_INTERVAL_MS = 300;
/**
 * How long an earlier submission of a request matters before the first configuration is known.
 * Afterwards it matters until its record is dropped, which the configuration determines.
 */
const DEFAULT_HORIZON_MS = 1_200_000;

/** Parts of an entry, with the operations that its shutdown needs. */
export interface WiredEntry {
  readonly children: readonly Child[];
  /** Number of requests from connected callers whose answer is not complete yet. */
  readonly openAnswers: () => number;
  readonly announceLeaving: () => void;
  readonly stopAccepting: () => void;
  readonly drainMs: () => number;
}

/** Creates the parts of an entry, in the order of their start. */
export function wireEntry(context: ProcessContext, settings: EntrySettings): WiredEntry {
  const { clocks, hashing, random, rpc, telemetry } = context;
  const nowMs = clocks.monotonicMs;
  const entryIncarnation = `${context.memberId}/${randomUUID()}`;
  let configuration: Configuration | null = null;
  let authenticate: Authenticate<WorkspaceSpec> = () => null;
  let isLeaving = false;
  let isStopped = false;
  let joined = false;
  const startedAtMs = nowMs();

  const contacts = createContacts({ nowMs, hash32: hashing.hash32, horizonMs });
  const figures = createEntryCounters(telemetry);

  const member = wireMember(context, settings, {
    kind: MemberKind.Entry,
    target: '',
    onConfigurationApplied: ({ compiled }) => {
      configuration = compiled;
      context.setLongestBody(compiled.limits.maxBodyBytes);
      authenticate = createAuthenticate(compiled.workspaces);
      policies.refresh();
    },
    onMemberChanged: (changed) => {
      contacts.changed(changed);
      policies.refresh();
      requests.membersChanged();
    },
    onLoneRunReply: (reply) => {
      requests.loneRunReplied(reply);
    },
    onSuspicion: () => undefined,
    onDatagram: (_from, method, params) => {
      if (method === (RpcMethod.DemandReport as string)) planning.acceptDemandReport(params);
      else if (method === (RpcMethod.LoadReport as string)) handleLoadReport(params);
    },
  });

  const vmList: VmListDriver | null =
    settings.vmList === undefined
      ? null
      : createVmListDriver(createVmListClient({ address: settings.vmList.url }), nowMs, () => {
          policies.refresh();
        });

  const directory = createTargetDirectory({
    configuration: () => configuration,
    findMember: member.membership.find,
    listedLeaving: (memberId) => vmList?.listedLeaving(memberId) ?? null,
  });

  const policies = createPolicies({
    entry: context.memberId,
    failureDomain: settings.failureDomain,
    nowMs,
    random,
    hash32: hashing.hash32,
    configuration: () => configuration,
    directory,
    entriesAlive: () =>
      member.membership.present().filter((candidate) => candidate.kind === MemberKind.Entry).length,
    emit: telemetry.emit,
  });

  const claims = createClaimDriver({
    selfId: context.memberId,
    nowMs,
    rpc,
    aggregatorOf: member.placement.aggregatorOf,
    takeLocally: member.takeClaim,
  });

  const services: RunServices = {
    nowMs,
    rpc,
    telemetry,
    sessions: createSessionDriver(rpc, entryIncarnation),
    claims,
    poison: member.poison,
    callHolder: member.holder.callHolder,
    policyOf: policies.of,
    acceptLoadReport: handleLoadReport,
    requestContext: createRequestContext,
    recordAnswer: figures.answered,
    recordRefusal: figures.refused,
  };

  const requests = createRequests({
    entryIncarnation,
    services,
    configuration: () => configuration,
    wallMs: clocks.wallMs,
  });

  const budgets = new Map<
    string,
    { readonly budget: RetryBudget; readonly options: RetryOptions }
  >();

  function retryBudgetOf(service: string): { budget: RetryBudget; options: RetryOptions } {
    const existing = budgets.get(service);
    if (existing !== undefined) return existing;
    const ratio =
      directory.service(service)?.retryBudgetRatio ?? DEFAULT_REQUEST_MACHINE_OPTIONS.retry.ratio;
    const options = { ...DEFAULT_REQUEST_MACHINE_OPTIONS.retry, ratio };
    const created = { budget: createRetryBudget(options), options };
    budgets.set(service, created);
    return created;
  }

  function createRequestContext(request: CallerRequest, keyIsFresh: boolean): RequestContext {
    const { budget, options } = retryBudgetOf(request.service);
    return {
      nowMs: nowMs(),
      random,
      hash32: hashing.hash32,
      entryId: context.memberId,
      options: { ...DEFAULT_REQUEST_MACHINE_OPTIONS, retry: options },
      budget,
      holders: (without) => member.placement.holdersOf(request.keyText, without),
      isLive: member.mayBeAlive,
      suspicion: () => member.poison.suspicionOf(request.bodyHash),
      provesAbsence: (absentAt) => keyIsFresh || contacts.provesAbsence(request.keyText, absentAt),
    };
  }

  function horizonMs(): number {
    if (configuration === null) return DEFAULT_HORIZON_MS;
    const deadlinesMs = configuration.services.map((service) => service.deadlineMs);
    return configuration.limits.answerRetentionMs + Math.max(0, ...deadlinesMs);
  }

  const planning = createPlanning({
    selfId: context.memberId,
    nowMs,
    random,
    hash32: hashing.hash32,
    keyValue: context.keyValue,
    weightStore:
      settings.weightStore === undefined
        ? null
        : createWeightStoreClient({ address: settings.weightStore.url }),
    rpc,
    telemetry,
    directory,
    policies,
    services: () => configuration?.services ?? [],
    present: member.membership.present,
    sendDatagram: member.datagrams.send,
    drainMs: () => configuration?.limits.drainMs ?? 0,
  });

  function handleLoadReport(params: unknown): void {
    const load = decodeLoad(params, nowMs());
    if (load === null) return;
    policies.acceptLoadReport(load.report);
    planning.recordMissingLoad(load);
  }

  /**
   * Returns whether the entry has met more than half of its targets, or {@link JOIN_GRACE_MS} has
   * passed. Before that it would reject requests that another entry can serve.
   */
  function hasJoined(): boolean {
    const targets = (configuration?.services ?? []).flatMap((service) => service.targets);
    const liveTargets = targets.filter(({ sidecar }) => member.isLive(formatAddress(sidecar)));
    joined ||= liveTargets.length * 2 > targets.length || nowMs() - startedAtMs > JOIN_GRACE_MS;
    return joined;
  }

  function notServingReason(): string | null {
    if (isStopped) return 'it is shutting down';
    const refusalReason = member.configuration.newWorkRejection();
    return refusalReason === null && !hasJoined()
      ? 'it has not met its targets yet'
      : refusalReason;
  }

  const statusOptions: ProcessStatusOptions = {
    memberId: context.memberId,
    kind: MemberKind.Entry,
    failureDomain: settings.failureDomain,
    target: '',
    startedAtWallMs: clocks.wallMs(),
    membership: member.membership,
    configuration: member.configuration,
    configurationSinceWallMs: member.configurationSinceWallMs,
    telemetry,
    isStopping: () => isLeaving,
    services: () =>
      readServices({
        nowMs,
        services: () => configuration?.services ?? [],
        directory,
        policies,
        figures,
        findMember: member.membership.find,
        selfId: context.memberId,
        authorityOf: planning.authorityOf,
        roleChanges: planning.roleChanges,
      }),
  };

  const serviceNames = (): readonly string[] =>
    (configuration?.services ?? []).map((service) => service.name);

  const callers = createCallerServer({
    address: settings.callers,
    guard: context.guard,
    configuration: () => configuration,
    authenticate: () => authenticate,
    notServingReason,
    isLeaving: () => isLeaving,
    makeKey: randomUUID,
    onRejected: (idempotencyKey, reason) => {
      telemetry.count('requests_turned_away_total');
      // The workspace is not known yet, so the event carries the caller's idempotency key unchanged.
      const request = idempotencyKey === null ? {} : { request: idempotencyKey };
      telemetry.emit({ kind: EventKind.RequestRefused, reason, ...request });
    },
    onModelRequest: requests.model,
    onPlainCall: requests.plain,
  });

  return {
    children: [
      createControlServer({
        address: settings.control,
        allows: allowNetworks(settings.controlNetworks),
        proof: context.proof,
        guard: context.guard,
        clock: context.timeline.clock,
        handlers: {
          ...member.handlers,
          [RpcMethod.StatusRead]: (params) => readStatus(statusOptions, params as StatusQuery),
        },
        streams: {},
        metricsText: telemetry.metricsText,
      }),
      ...member.children,
      ...(vmList === null ? [] : [vmList.child]),
      claims.child,
      createLoadSubscriptions({
        random,
        directory,
        policies,
        plannedServices: planning.plannedServices,
        send: member.datagrams.send,
      }),
      createPeriodic(
        'poison-ledger-reader',
        () =>
          (member.poison.isRead() ? LEDGER_READ_INTERVAL_MS : LEDGER_RETRY_INTERVAL_MS) *
          (0.5 + random()),
        () => member.poison.readLedger(serviceNames()),
      ),
      ...planning.children,
      createPeriodic('queue-pump', () => QUEUE_PUMP_INTERVAL_MS, policies.pump),
      createPeriodic(
        'target-gauges',
        () => TARGET_GAUGES_INTERVAL_MS,
        () => {
          setTargetGauges({
            services: () => configuration?.services ?? [],
            directory,
            policies,
            gauge: telemetry.gaugeByTarget,
          });
        },
      ),
      createPeriodic(
        'shedding',
        () => SHEDDING_INTERVAL_MS,
        () => {
          policies.shed(requests.count() / MAX_ACTIVE_REQUESTS);
        },
      ),
      callers.child,
    ],
    openAnswers: callers.open,
    announceLeaving: () => {
      isLeaving = true;
      planning.giveUp();
      member.membership.announceLeaving();
    },
    stopAccepting: () => {
      isStopped = true;
    },
    drainMs: () => configuration?.limits.drainMs ?? 0,
  };
}
