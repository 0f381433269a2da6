/**
 * HTTP client for the VM list port. Reads `GET /vms`.
 */
import type { Failure } from '@cassiamast/coordination';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import { asList, asMember, asNumber, asObject, asText, parseJsonObject } from '../http/json.js';
import type { HttpTransport } from '../http/transport.js';
import { createHttpTransport, isExchangeFailure } from '../http/transport.js';
import { VM_LIST_UNAVAILABLE } from './failures.js';
import type { VmListing, VmListPort } from './port.js';
import { VmState } from './port.js';

const DEFAULT_CALL_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS = 2;
/** Enough for 10,000 VMs of about 200 bytes each. */
const MAX_ANSWER_BYTES = 2 * 1024 * 1024;

/** Options of {@link createVmListClient}. */
export interface VmListClientOptions {
  /** Base address such as `http://10.0.0.3:9100`. */
  readonly address: string;
  readonly callTimeoutMs?: number;
}

/** The VM list port with a method that closes its connections. */
export interface VmListClient extends VmListPort {
  readonly close: () => Promise<void>;
}

/** Creates a client for the VM list. */
export function createVmListClient(options: VmListClientOptions): VmListClient {
  const callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const transport = createHttpTransport({
    connectTimeoutMs: callTimeoutMs,
    maxConnections: MAX_CONNECTIONS,
  });
  return {
    list: () => new ResultAsync(readList(transport, options.address, callTimeoutMs)),
    close: () => transport.close(),
  };
}

async function readList(
  transport: HttpTransport,
  address: string,
  timeoutMs: number,
): Promise<Result<readonly VmListing[], Failure>> {
  const outcome = await transport.exchange(
    { origin: address, method: 'GET', path: '/vms', headers: {}, body: null },
    { timeoutMs, maxAnswerBytes: MAX_ANSWER_BYTES },
  );
  const unavailable = (detail: string) =>
    err(VM_LIST_UNAVAILABLE.of({ address, mayHaveRun: false, detail }));
  if (isExchangeFailure(outcome)) return unavailable(outcome.detail);
  if (outcome.status !== 200) return unavailable(`status ${String(outcome.status)}`);
  const body = parseJsonObject(outcome.body.toString('utf8'));
  if (body === null) return unavailable('the body is not a JSON object');
  return ok(asList(body.vms).flatMap(readListing));
}

function readListing(item: unknown): readonly VmListing[] {
  const vm = asObject(item);
  const state = asMember(VmState, vm?.state);
  if (vm === null || state === null) return [];
  return [
    {
      host: asText(vm.host),
      port: asNumber(vm.port),
      failureDomain: asText(vm.failure_domain),
      state,
    },
  ];
}
