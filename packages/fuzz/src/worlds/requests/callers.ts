/**
 * Simulated callers: they send, break off, come back through any entry, and send again.
 */
import { RequestEventKind, createRequestMachine, parseEventId } from '@cassiamast/coordination';
import { countFault } from '../../kit/faults.js';
import { ProcessStatus } from '../../kit/processes.js';
import { feedDrive } from './entry.js';
import { CALLER_SEPARATOR, isPoisonousBody, isRepeatableKey, onArrival } from './oracle.js';
import type { CallerConnection, Reading } from './oracle.js';
import { SERVICE } from './simulation.js';
import type { SimulatedNode, Simulation } from './simulation.js';

/** What a caller sends. */
export interface Submission {
  readonly keyText: string;
  readonly bodyHash: string;
  readonly entryId: string;
}

/** Time that a caller gives its request. */
export const DEADLINE_MS = 30_000;
/** Tokens of an answer; bodies differ a little. */
const BASE_LENGTH = 4;

/** Sends a request; with a reading it goes on from what was read. Nothing happens at a dead entry. */
export function submit(
  simulation: Simulation,
  submission: Submission,
  reading: Reading | null,
): CallerConnection | null {
  const node = simulation.byId.get(submission.entryId);
  if (node?.slot.status !== ProcessStatus.Running) return null;
  const { keyText, bodyHash, entryId } = submission;
  const connection: CallerConnection = {
    id: simulation.oracle.connections.length,
    keyText,
    bodyHash,
    entryId,
    repeatable: isRepeatableKey(keyText),
    poisonous: isPoisonousBody(bodyHash),
    reading: reading ?? { tokens: [], lastEventId: null },
    isOpen: true,
    isTold: false,
    wasAnswered: false,
  };
  onArrival(simulation, connection, `${entryId}#${String(node.memory.incarnation)}`);
  startDrive(simulation, node, connection);
  return connection;
}

function startDrive(
  simulation: Simulation,
  node: SimulatedNode,
  connection: CallerConnection,
): void {
  const { keyText, bodyHash, repeatable, poisonous, reading } = connection;
  const incarnation = String(node.memory.incarnation);
  const id = `${node.id}#${incarnation}${CALLER_SEPARATOR}${String(connection.id)}`;
  const resume = reading.lastEventId === null ? null : parseEventId(reading.lastEventId);
  const drive = createRequestMachine(
    id,
    {
      keyText,
      bodyHash,
      repeatable,
      resume,
      workspace: 'workspace',
      service: SERVICE,
      payload: { length: BASE_LENGTH + bodyHash.length, poisonous },
      deadlineMs: DEADLINE_MS,
    },
    simulation.scheduler.nowMs,
  );
  node.memory.drives.set(id, drive);
  feedDrive(simulation, node, drive, { kind: RequestEventKind.CallerArrived });
}

/** Breaks a caller's connection; its request goes on. */
export function breakOff(simulation: Simulation, connection: CallerConnection): void {
  if (!connection.isOpen) return;
  countFault(simulation.network.counts, 'caller-broke-off');
  connection.isOpen = false;
  const node = simulation.byId.get(connection.entryId);
  for (const drive of node?.memory.drives.values() ?? []) {
    if (node === undefined || !drive.id.endsWith(`${CALLER_SEPARATOR}${String(connection.id)}`)) {
      continue;
    }
    feedDrive(simulation, node, drive, { kind: RequestEventKind.CallerGone });
  }
}

/** Breaks the connections of an entry that has died. */
export function breakAllOf(simulation: Simulation, entryId: string): void {
  for (const connection of simulation.oracle.connections) {
    if (connection.entryId === entryId) connection.isOpen = false;
  }
}
