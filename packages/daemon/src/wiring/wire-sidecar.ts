/**
 * Wires a sidecar: creates its parts, connects their callbacks and returns them in the order in which
 * the supervisor starts them. Replaces the backend when the configuration changes its address.
 */
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
import type { ProcessContext } from './process-context.js';
import { wireMember } from './wire-member.js';

/** Parts of a sidecar, with the operations that its shutdown needs. */
export interface WiredSidecar {
  readonly children: readonly Child[];
  readonly openAttempts: () => number;
  readonly announceLeaving: () => void;
  readonly stopAccepting: () => void;
  readonly drainMs: () => number;
}

/** The target that this sidecar serves, as the active configuration describes it. */
interface LocalTarget {
  readonly service: string;
  readonly kind: TargetKind;
  readonly spec: TargetSpec;
}

/** Creates the parts of a sidecar, in the order of their start. */
export function wireSidecar(context: ProcessContext, settings: SidecarSettings): WiredSidecar {
  const { clocks, telemetry } = context;
  const nowMs = clocks.monotonicMs;
  let configuration: Configuration | null = null;
  let localTarget: LocalTarget | null = null;
  let backend: Backend | null = null;
  let engine: EngineClient | null = null;
  let engineBackend: EngineBackend | null = null;
  let isLeaving = false;
  let isStopped = false;
  let isGateDraining = false;

  const member = wireMember(context, settings, {
    kind: MemberKind.Sidecar,
    target: settings.target,
    onConfigurationApplied: ({ compiled }) => {
      configuration = compiled;
      applyTarget(findTarget(compiled, settings.target));
      applyDrain();
    },
    onMemberChanged: () => {
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
        member.poison.submitWork(`${attemptId}|crash`, { kind, service, bodyHash, attemptId });
      }
    },
  });

  const reporter = createLoadReporter({
    target: settings.target,
    nowMs,
    engine: () => engine,
    accepting: () => !host.state.draining,
    wantedModels: () => findService(configuration, localTarget)?.models ?? [],
    onRead: (epoch) => {
      engineBackend?.recordEpoch(epoch);
      void reportInheritedStreams();
    },
    sendDatagram: member.datagrams.send,
  });

  const gate = createGateDriver({
    target: settings.target,
    nowMs,
    keyValue: context.keyValue,
    telemetry,
    engine: () => engine,
    service: () => localTarget?.service ?? null,
    // An order would also cut off streams that an earlier sidecar process left in the engine. Until
    // their number is known, one is assumed.
    runningCount: () => host.runningCount() + (host.state.inherited?.count ?? 1),
    onDrain: (draining) => {
      isGateDraining = draining;
      applyDrain();
    },
  });

  const prefill = createPrefill({ rpc: context.rpc, engine: () => engine, telemetry });

  function applyTarget(found: LocalTarget | null): void {
    const previousAddress = localTarget === null ? '' : formatAddress(localTarget.spec.backend);
    const nextAddress = found === null ? '' : formatAddress(found.spec.backend);
    localTarget = found;
    if (previousAddress === nextAddress) return;
    backend?.retire();
    engine = null;
    engineBackend = null;
    backend = found === null ? null : createBackend(found);
  }

  function createBackend(found: LocalTarget): Backend {
    // The engine runs on the same VM, so traffic to it is not control traffic on the network.
    context.traffic.excludePort(found.spec.backend.port);
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
   * Reports the streams that an earlier sidecar process left in the engine. Asks the engine for the
   * current list, because load reports are stale and a lone run that waits for the last of these
   * streams to end could wait forever. A single stream may itself be a lone run, since a lone run is
   * the only one on its target.
   */
  async function reportInheritedStreams(): Promise<void> {
    if (host.state.inherited?.count === 0) return;
    const running = await engine?.runningStreams();
    if (running?.isOk() !== true) return;
    const inheritedStreamIds = running.value.filter(
      (streamId) => !host.state.attempts.has(streamId),
    );
    const inherited = {
      count: inheritedStreamIds.length,
      mayBeLone: inheritedStreamIds.length === 1,
    };
    host.handle({ kind: HostEventKind.EngineInherited, inherited });
  }

  /**
   * Starts or ends draining: no new work while the process stops, the gate drains or the target is
   * withdrawn.
   */
  function applyDrain(): void {
    const isWithdrawn = localTarget === null || localTarget.spec.withdrawn;
    const draining = isStopped || isGateDraining || isWithdrawn;
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
    // Entries report the state of the services; a sidecar knows only its own target.
    services: () => [],
  };

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

function findTarget(configuration: Configuration, name: string): LocalTarget | null {
  for (const service of configuration.services) {
    const spec = service.targets.find((candidate) => candidate.name === name);
    if (spec !== undefined) return { service: service.name, kind: service.kind, spec };
  }
  return null;
}

function findService(
  configuration: Configuration | null,
  localTarget: LocalTarget | null,
): ServiceSpec | null {
  return configuration?.services.find((service) => service.name === localTarget?.service) ?? null;
}
