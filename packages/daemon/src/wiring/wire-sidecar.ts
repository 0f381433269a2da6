/** Wires a sidecar: the parts of the supervisor tree and who hears of what. */
import {
  type Configuration,
  type Failure,
  MemberKind,
  type TargetSpec,
} from '@cassiamast/coordination';
import { createEngineClient, type EngineClient } from '@cassiamast/platform';
import { formatAddress } from '../node/address.js';
import { createControlServer } from '../node/control-server.js';
import { allowNetworks } from '../node/networks.js';
import { createPeriodic } from '../node/timers.js';
import type { SidecarSettings } from '../settings/settings.js';
import { createEngineAttempts, type EngineAttempts } from '../sidecar/engine-attempts.js';
import { TARGET_NOT_SERVING } from '../sidecar/failures.js';
import { createStreamRoutes } from '../sidecar/stream-routes.js';
import type { Child } from '../supervisor/supervisor.js';
import type { ProcessContext } from './process.js';
import { wireMember } from './wire-member.js';

const SWEEP_MS = 1_000;

/** The children of a sidecar's root supervisor, in the order of their start. */
export function wireSidecar(context: ProcessContext, settings: SidecarSettings): readonly Child[] {
  let target: TargetSpec | null = null;
  let engine: EngineClient | null = null;

  function putInForce(compiled: Configuration): void {
    const found = compiled.services
      .flatMap((service) => service.targets)
      .find((candidate) => candidate.name === settings.target);
    if (found === undefined) {
      target = null;
      return;
    }
    if (target !== null && formatAddress(target.backend) === formatAddress(found.backend)) return;
    target = found;
    engine = createEngineClient({ address: `http://${formatAddress(found.backend)}` });
  }

  function notServing(): Failure | null {
    if (engine !== null) return null;
    return TARGET_NOT_SERVING.of({ target: settings.target, reason: 'not in the configuration' });
  }

  const attempts: EngineAttempts = createEngineAttempts({
    target: settings.target,
    generate: (request, handlers) => {
      if (engine !== null) return engine.generate(request, handlers);
      throw new Error('opened without an engine');
    },
    nowMs: context.clocks.monotonicMs,
    onEnd: () => undefined,
    notServing,
  });

  const member = wireMember(context, settings, {
    kind: MemberKind.Sidecar,
    target: settings.target,
    onInForce: ({ compiled }) => {
      putInForce(compiled);
    },
    onMembers: () => undefined,
    onDatagram: () => undefined,
  });

  return [
    createControlServer({
      address: settings.control,
      allows: allowNetworks(settings.controlNetworks),
      proof: context.proof,
      handlers: member.handlers,
      streams: createStreamRoutes(attempts),
      metricsText: context.telemetry.metricsText,
    }),
    ...member.children,
    createPeriodic(
      'attempt-sweep',
      () => SWEEP_MS,
      () => {
        attempts.sweep();
      },
    ),
  ];
}
