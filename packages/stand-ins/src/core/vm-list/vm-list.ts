/**
 * Emulates the platform's list of VMs, which shows each change only after a lag.
 */
import { VmState } from '@cassiamast/ports';
import type { VmListing } from '@cassiamast/ports';
import type { JsonBody, Route } from '../http/http-server.js';
import { sendJson, startHttpServer } from '../http/http-server.js';

/** Options of {@link startVmList}. */
export interface VmListOptions {
  readonly host?: string;
  readonly port?: number;
  readonly vms?: readonly VmListing[];
  /** Delay before a change becomes visible. */
  readonly lagMs?: number;
  readonly nowMs?: () => number;
}

/** A running VM list. */
export interface VmListStandIn {
  readonly address: string;
  readonly port: number;
  /** Sets the actual VMs. The list shows them after its lag. */
  readonly setVms: (vms: readonly VmListing[]) => void;
  readonly stop: () => Promise<void>;
}

const DEFAULT_LAG_MS = 2_000;

/** Starts a VM list stand-in. `POST /vms` sets the actual VMs from another process. */
export async function startVmList(options: VmListOptions = {}): Promise<VmListStandIn> {
  const nowMs = options.nowMs ?? (() => performance.now());
  const lagMs = options.lagMs ?? DEFAULT_LAG_MS;
  let visibleVms: readonly VmListing[] = options.vms ?? [];
  let changes: { readonly atMs: number; readonly vms: readonly VmListing[] }[] = [];

  const setVms = (vms: readonly VmListing[]): void => {
    changes.push({ atMs: nowMs(), vms });
  };
  const current = (): readonly VmListing[] => {
    const due = changes.filter((change) => change.atMs + lagMs <= nowMs());
    changes = changes.slice(due.length);
    visibleVms = due.at(-1)?.vms ?? visibleVms;
    return visibleVms;
  };
  const list: Route = ({ response }) => {
    sendJson(response, 200, { vms: current().map(listingBody) });
  };
  const change: Route = ({ body, response }) => {
    setVms(Array.isArray(body.vms) ? body.vms.map((vm) => readListing(vm as JsonBody)) : []);
    sendJson(response, 200, {});
  };
  const server = await startHttpServer({
    host: options.host ?? '127.0.0.1',
    port: options.port ?? 0,
    route: (method, path) => {
      if (path !== '/vms') return null;
      return method === 'POST' ? change : list;
    },
  });
  return { address: server.address, port: server.port, setVms, stop: server.stop };
}

function listingBody(vm: VmListing): JsonBody {
  return { host: vm.host, port: vm.port, failure_domain: vm.failureDomain, state: vm.state };
}

function readListing(vm: JsonBody): VmListing {
  return {
    host: String(vm.host),
    port: Number(vm.port),
    failureDomain: String(vm.failure_domain),
    state: vm.state === VmState.Leaving ? VmState.Leaving : VmState.Live,
  };
}
