/**
 * Decides how much memory and how many connections all clients of a process may use together, and
 * whose connection yields when they use more. A connection yields as a whole, since it is what one
 * client holds. Requests that are being run keep theirs: they were accepted.
 */

/** The machine of a process. */
export interface MachineLimits {
  /** Memory in MiB; a process that uses more is killed. */
  readonly memoryMb: number;
  /** Maximum number of descriptors of the process. */
  readonly maxFds: number;
}

/** What all clients may use together. */
export interface ClientLimits {
  readonly maxBytes: number;
  readonly maxConnections: number;
  /** From this number of running requests on, each connection runs one at a time. */
  readonly maxRunning: number;
}

const BYTES_PER_MB = 1024 * 1024;
/** Share of the memory; the program, its heap and what the kernel holds need the rest. */
const MEMORY_SHARE = 0.2;
/** Descriptors that the machine keeps for files. */
const FILE_DESCRIPTORS = 200;
/** Share of the other descriptors; connections to targets and to other processes need the rest. */
const DESCRIPTOR_SHARE = 0.5;
/** Share of them from which on connections run one request at a time, as each needs descriptors. */
const RUNNING_SHARE = 1 / 8;
/** Share of the bytes that large requests leave to others. */
const RESERVED_SHARE = 0.25;
/** A connection that holds more than this share of the bytes is a large one. */
const LARGE_SHARE = 1 / 128;

/** Returns the limits on a machine; `longestBodyBytes` is the longest body that any request may have. */
export function clientLimits(machine: MachineLimits, longestBodyBytes: number): ClientLimits {
  const sharedBytes = machine.memoryMb * BYTES_PER_MB * MEMORY_SHARE;
  // A single request within the operators' limits must fit beside the reserve.
  const oneRequestBytes = (longestBodyBytes * 2) / (1 - RESERVED_SHARE);
  const descriptors = Math.max(0, machine.maxFds - FILE_DESCRIPTORS);
  return {
    maxBytes: Math.max(sharedBytes, oneRequestBytes),
    maxConnections: Math.max(1, Math.floor(descriptors * DESCRIPTOR_SHARE)),
    maxRunning: Math.floor(descriptors * RUNNING_SHARE),
  };
}

/** What the client of a connection waits for. */
export enum ConnectionPhase {
  /** No request is in progress. */
  Idle = 'idle',
  /** A request is being received, and others may be running. */
  Receiving = 'receiving',
  /** Requests that were received wait for others of the same connection. */
  Waiting = 'waiting',
  /** All requests that were received are running. */
  Running = 'running',
  /** The client does not read the answers to its requests. */
  Unread = 'unread',
}

/** What one connection holds. */
export interface ConnectionUse {
  readonly phase: ConnectionPhase;
  readonly bytes: number;
  /** Whether requests of the connection run, which are to be answered. */
  readonly isRunning: boolean;
  /** Whether a request of the connection was ever answered. */
  readonly hasBeenServed: boolean;
  /** When the connection last began or ended a request, on a monotonic clock. */
  readonly activeAtMs: number;
}

/** Phases in which a connection may yield; one whose requests are all running may not. */
const MAY_YIELD: ReadonlySet<ConnectionPhase> = new Set([
  ConnectionPhase.Receiving,
  ConnectionPhase.Waiting,
  ConnectionPhase.Unread,
]);
/** Phases in which a connection may yield its descriptor; an idle one holds hardly any bytes. */
const MAY_YIELD_DESCRIPTOR: ReadonlySet<ConnectionPhase> = new Set([
  ...MAY_YIELD,
  ConnectionPhase.Idle,
]);

/**
 * Returns the connection that yields because all together hold `heldBytes`, or null if none has to or
 * may: the largest one, and of equal ones the oldest. While the reserve is not used up, only large
 * connections yield.
 */
export function yieldsBytes<Use extends ConnectionUse>(
  connections: Iterable<Use>,
  heldBytes: number,
  { maxBytes }: Pick<ClientLimits, 'maxBytes'>,
): Use | null {
  if (!isMemoryScarce(heldBytes, { maxBytes })) return null;
  const leastBytes = heldBytes <= maxBytes ? maxBytes * LARGE_SHARE : 0;
  const mayYield = ({ phase, bytes }: Use): boolean => MAY_YIELD.has(phase) && bytes > leastBytes;
  return first(connections, mayYield, isLarger);
}

/**
 * Returns the connection that yields because there are more than allowed, or null if none has to or
 * may: those that were never served before others, and of these the one that is inactive for longest. One
 * whose client reads slowly comes after all that await nothing.
 */
export function yieldsDescriptor<Use extends ConnectionUse>(
  connections: Iterable<Use>,
  count: number,
  { maxConnections }: ClientLimits,
): Use | null {
  if (count <= maxConnections) return null;
  const isSpare = ({ phase, isRunning }: Use): boolean =>
    !isRunning && MAY_YIELD_DESCRIPTOR.has(phase);
  const isUnread = ({ phase }: Use): boolean => phase === ConnectionPhase.Unread;
  return first(connections, isSpare, isLessActive) ?? first(connections, isUnread, isLessActive);
}

/** Returns whether only the reserve for small requests is left. */
export function isMemoryScarce(
  heldBytes: number,
  { maxBytes }: Pick<ClientLimits, 'maxBytes'>,
): boolean {
  return heldBytes > maxBytes * (1 - RESERVED_SHARE);
}

function isLarger(one: ConnectionUse, other: ConnectionUse): boolean {
  return one.bytes === other.bytes ? isOlder(one, other) : one.bytes > other.bytes;
}

function isLessActive(one: ConnectionUse, other: ConnectionUse): boolean {
  if (one.hasBeenServed !== other.hasBeenServed) return other.hasBeenServed;
  return isOlder(one, other);
}

function isOlder(one: ConnectionUse, other: ConnectionUse): boolean {
  return one.activeAtMs < other.activeAtMs;
}

/** Returns the one of those that may yield that precedes all others, or null. */
function first<Use extends ConnectionUse>(
  connections: Iterable<Use>,
  mayYield: (use: Use) => boolean,
  precedes: (one: Use, other: Use) => boolean,
): Use | null {
  let chosen: Use | null = null;
  for (const connection of connections) {
    if (!mayYield(connection)) continue;
    if (chosen === null || precedes(connection, chosen)) chosen = connection;
  }
  return chosen;
}
