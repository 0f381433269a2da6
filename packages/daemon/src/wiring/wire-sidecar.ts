/** Wires a sidecar: the parts of the supervisor tree and who hears of what. */
import {
  type Configuration,
  HostEventKind,
  MemberKind,
  PoisonWorkKind,
  type ServiceSpec,
  type StatusQuery,
  TargetKind,
  type TargetSpec,
} from '@cassiamast/coordination';
import { type EngineClient, createEngineClient, createPlainServiceClient } from '@cassiamast/ports';
import { formatAddress } from '../node/address.js';
import { createControlServer } from '../node/control-server.js';
import { allowNetworks } from '../node/networks.js';
import { type ProcessStatusOptions, readStatus } from '../node/process-status.js';
import { RpcMethod } from '../protocol/methods.js';
import type { SidecarSettings } from '../settings/settings.js';
import type { Backend } from '../sidecar/backend.js';
import { type EngineBackend, createEngineBackend } from '../sidecar/engine-backend.js';
import { createGateDriver } from '../sidecar/gate-driver.js';
import { type HostDriver, createHostDriver } from '../sidecar/host-driver.js';
import { createLoadReporter } from '../sidecar/load-reporter.js';
import { createPlainBackend } from '../sidecar/plain-backend.js';
import { createPrefill } from '../sidecar/prefill.js';
import type { Child } from '../supervisor/supervisor.js';
import type { ProcessContext } from './process.js';
import { wireMember } from './wire-member.js';

/** A sidecar with what its shutdown needs. */
export interface WiredSidecar {
  readonly children: readonly Child[];
  readonly openAttempts: () => number;
  readonly announceLeaving: () => void;
  readonly stopAccepting: () => void;
  readonly drainMs: () => number;
}

/** The target beside this process as the configuration in force has it. */
interface Beside {
  readonly service: string;
  readonly kind: TargetKind;
  readonly spec: TargetSpec;
}

/** The parts of a sidecar, in the order of their start. */
export function wireSidecar(context: ProcessContext, settings: SidecarSettings): WiredSidecar {
  const { clocks, telemetry } = context;
  const nowMs = clocks.monotonicMs;
  let configuration: Configuration | null = null;
  let beside: Beside | null = null;
  let backend: Backend | null = null;
  let engine: EngineClient | null = null;
  let engineBackend: EngineBackend | null = null;
  let isLeaving = false;
  let isStopped = false;
  let isGateDraining = false;

  const member = wireMember(context, settings, {
    kind: MemberKind.Sidecar,
    target: settings.target,
    onInForce: ({ compiled }) => {
      configuration = compiled;
      takeTarget(findTarget(compiled, settings.target));
      applyDrain();
    },
    onMembers: () => {
      host.handle({ kind: HostEventKind.MembersChanged });
    },
    onLoneRunReply: () => undefined,
    onSuspicion: (bodyHash, isSuspect) => {
      const kind = isSuspect ? HostEventKind.ContentSuspected : HostEventKind.ContentCleared;
      host.handle({ kind, bodyHash });
    },
    onDatagram: (from, method, params) => {
      if (method !== (RpcMethod.LoadSubscribe as string)) return;
      const intervalMs: unknown = Array.isArray(params) ? params[0] : 0;
      reporter.subscribe(from, typeof intervalMs === 'number' ? intervalMs : 0);
    },
  });

  const host: HostDriver = createHostDriver({
    selfId: context.memberId,
    target: settings.target,
    nowMs,
    telemetry,
    holdersOf: member.placement.holdersOf,
    callHolder: member.holder.callHolder,
    keyValue: context.keyValue,
    backend: () => backend,
    loadNow: () => reporter.encoded(),
    reportCrash: (service, suspects) => {
      for (const { attemptId, bodyHash } of suspects) {
        const kind = PoisonWorkKind.ReportCrash;
        member.poison.ask(`${attemptId}|crash`, { kind, service, bodyHash, attemptId });
      }
    },
  });

  const reporter = createLoadReporter({
    target: settings.target,
    nowMs,
    engine: () => engine,
    accepting: () => !host.state.draining,
    wantedModels: () => findService(configuration, beside)?.models ?? [],
    onRead: (epoch) => {
      engineBackend?.noteEpoch(epoch);
      void noteInherited();
    },
    sendDatagram: member.datagrams.send,
  });

  const gate = createGateDriver({
    target: settings.target,
    nowMs,
    keyValue: context.keyValue,
    telemetry,
    engine: () => engine,
    service: () => beside?.service ?? null,
    // Streams that a former sidecar left in the engine would be cut by an order as well.
    runningCount: () => host.runningCount() + (host.state.inherited?.count ?? 1),
    onDrain: (draining) => {
      isGateDraining = draining;
      applyDrain();
    },
  });

  const prefill = createPrefill({ rpc: context.rpc, engine: () => engine, telemetry });

  function takeTarget(found: Beside | null): void {
    const before = beside === null ? '' : formatAddress(beside.spec.backend);
    const after = found === null ? '' : formatAddress(found.spec.backend);
    beside = found;
    if (before === after) return;
    backend?.retire();
    engine = null;
    engineBackend = null;
    backend = found === null ? null : makeBackend(found);
  }

  function makeBackend(found: Beside): Backend {
    // The engine is on the same VM: what is said to it is no control traffic on the network.
    context.traffic.leaveOut(found.spec.backend.port);
    const address = `http://${formatAddress(found.spec.backend)}`;
    if (found.kind === TargetKind.PlainService) {
      const inherited = { count: 0, mayBeLone: false };
      host.handle({ kind: HostEventKind.EngineInherited, inherited });
      return createPlainBackend(createPlainServiceClient({ address }), host.handle);
    }
    engine = createEngineClient({ address });
    engineBackend = createEngineBackend({ engine, onEvent: host.handle, prefill: prefill.request });
    return engineBackend;
  }

  /**
   * Streams that a former sidecar left in the engine, as of now: a load report is old, and a lone
   * run that waited for its last stream to end would wait for ever. A lone run has nothing beside
   * it, so a single stream may be one.
   */
  async function noteInherited(): Promise<void> {
    if (host.state.inherited?.count === 0) return;
    const running = await engine?.runningStreams();
    if (running?.isOk() !== true) return;
    const foreign = running.value.filter((streamId) => !host.state.attempts.has(streamId));
    const inherited = { count: foreign.length, mayBeLone: foreign.length === 1 };
    host.handle({ kind: HostEventKind.EngineInherited, inherited });
  }

  /** No new work while the process stops or the operators have withdrawn the target. */
  function applyDrain(): void {
    const isOut = beside === null || beside.spec.withdrawn;
    const draining = isStopped || isGateDraining || isOut;
    if (draining === host.state.draining) return;
    host.handle({ kind: HostEventKind.DrainChanged, draining });
  }

  const statusOptions: ProcessStatusOptions = {
    memberId: context.memberId,
    kind: MemberKind.Sidecar,
    failureDomain: settings.failureDomain,
    target: settings.target,
    startedAtWallMs: clocks.wallMs(),
    membership: member.membership,
    configuration: member.configuration,
    configurationSinceWallMs: member.configurationSinceWallMs,
    telemetry,
    isStopping: () => isLeaving,
    // The entries say how the services stand; a sidecar knows but its own target.
    services: () => [],
  };

  return {
    children: [
      createControlServer({
        address: settings.control,
        allows: allowNetworks(settings.controlNetworks),
        proof: context.proof,
        clock: context.timeline.clock,
        handlers: {
          ...member.handlers,
          ...host.handlers,
          ...gate.handlers,
          ...prefill.handlers,
          [RpcMethod.StatusRead]: (params) => readStatus(statusOptions, params as StatusQuery),
        },
        streams: host.streams,
        metricsText: telemetry.metricsText,
      }),
      ...member.children,
      host.child,
      gate.child,
      reporter.child,
    ],
    openAttempts: host.openCount,
    announceLeaving: () => {
      isLeaving = true;
      member.membership.announceLeaving();
    },
    stopAccepting: () => {
      isStopped = true;
      applyDrain();
    },
    drainMs: () => configuration?.limits.drainMs ?? 0,
  };
}

function findTarget(configuration: Configuration, name: string): Beside | null {
  for (const service of configuration.services) {
    const spec = service.targets.find((candidate) => candidate.name === name);
    if (spec !== undefined) return { service: service.name, kind: service.kind, spec };
  }
  return null;
}

function findService(
  configuration: Configuration | null,
  beside: Beside | null,
): ServiceSpec | null {
  return configuration?.services.find((service) => service.name === beside?.service) ?? null;
}
