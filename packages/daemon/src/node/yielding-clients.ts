/** Counts and logs clients over a limit; a crowd of them shows as one log line a second. */
import { type ClientUse, ClientLimit, YieldKind, type Yielded } from './client-guard.js';

const LOG_INTERVAL_MS = 1000;
const BYTES_PER_MB = 1024 * 1024;

/** Counters by limit, of what yielded to it. */
const COUNTERS: Readonly<Record<ClientLimit, string>> = {
  [ClientLimit.Memory]: 'clients_closed_over_memory_total',
  [ClientLimit.Connections]: 'clients_closed_over_connections_total',
  [ClientLimit.RequestsAhead]: 'clients_closed_over_requests_ahead_total',
  [ClientLimit.Running]: 'requests_waited_for_connection_total',
};
const REFUSED_COUNTER = 'requests_refused_over_memory_total';

/** Writes log lines with fields. */
interface WarnLog {
  readonly warn: (message: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Returns the callback of a guard; `nowMs` is a monotonic clock. */
export function logYieldingClients(
  log: WarnLog,
  count: (name: string) => void,
  nowMs: () => number,
): (yielded: Yielded, use: ClientUse) => void {
  let loggedAtMs = -Infinity;
  let unlogged = 0;
  return ({ limit, kind, client, bytes }, { heldBytes, connections }) => {
    count(kind === YieldKind.Refused ? REFUSED_COUNTER : COUNTERS[limit]);
    unlogged += 1;
    if (nowMs() - loggedAtMs < LOG_INTERVAL_MS) return;
    loggedAtMs = nowMs();
    log.warn('client over a limit', {
      limit,
      kind,
      client,
      bytes,
      clients: unlogged,
      connections,
      heldMb: Math.round(heldBytes / BYTES_PER_MB),
    });
    unlogged = 0;
  };
}
