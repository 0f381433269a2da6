/** Wires an entry: the parts of the supervisor tree and who hears of what. */
import { randomUUID } from 'node:crypto';
import { type Configuration, MemberKind } from '@cassiamast/coordination';
import { type Authenticate, createAuthenticate } from '../entry/authenticate.js';
import { createCallerServer } from '../entry/caller-server.js';
import { createModelRunner } from '../entry/model-runner.js';
import { createControlServer } from '../node/control-server.js';
import { allowNetworks } from '../node/networks.js';
import type { EntrySettings } from '../settings/settings.js';
import type { Child } from '../supervisor/supervisor.js';
import type { ProcessContext } from './process.js';
import { wireMember } from './wire-member.js';

/** The children of an entry's root supervisor, in the order of their start. */
export function wireEntry(context: ProcessContext, settings: EntrySettings): readonly Child[] {
  let configuration: Configuration | null = null;
  let authenticate: Authenticate = () => null;

  const member = wireMember(context, settings, {
    kind: MemberKind.Entry,
    target: '',
    onInForce: ({ compiled }) => {
      configuration = compiled;
      authenticate = createAuthenticate(compiled.workspaces);
    },
    onMembers: () => undefined,
    onDatagram: () => undefined,
  });

  const runModelRequest = createModelRunner({
    rpc: context.rpc,
    configuration: () => configuration,
    random: context.random,
    hash64: context.hashing.hash64,
    wallMs: context.clocks.wallMs,
  });

  return [
    createControlServer({
      address: settings.control,
      allows: allowNetworks(settings.controlNetworks),
      proof: context.proof,
      handlers: member.handlers,
      streams: {},
      metricsText: context.telemetry.metricsText,
    }),
    ...member.children,
    createCallerServer({
      address: settings.callers,
      maxConnections: settings.maxCallerConnections,
      configuration: () => configuration,
      authenticate: () => authenticate,
      notServingReason: member.configuration.newWorkRefused,
      makeKey: randomUUID,
      onModelRequest: runModelRequest,
      onPlainCall: (_call, response) => {
        response.writeHead(501).end();
      },
    }),
  ];
}
