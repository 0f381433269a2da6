/**
 * Remembers the assignments of the last seconds, which are stored as well when a second version of a
 * service appears.
 */
import type { StreamAssignment } from './stored-origins.js';

/** An assignment and its service. */
interface LoggedAssignment {
  readonly service: string;
  readonly assignment: StreamAssignment;
  readonly atMs: number;
}

/** Assignments by attempt and turn, oldest first. */
export type AssignmentLog = Map<string, LoggedAssignment>;

/** Longer than nearly all streams. */
const KEPT_MS = 15_000;
const MAX_ASSIGNMENTS = 20_000;

/** Records an assignment. */
export function logAssignment(
  log: AssignmentLog,
  service: string,
  assignment: StreamAssignment,
  nowMs: number,
): void {
  log.set(`${assignment[0]}/${String(assignment[1])}`, { service, assignment, atMs: nowMs });
  for (const [key, { atMs }] of log) {
    if (log.size <= MAX_ASSIGNMENTS && nowMs - atMs <= KEPT_MS) break;
    log.delete(key);
  }
}

/** Returns the assignments of a service in the last seconds. */
export function recentAssignments(
  log: AssignmentLog,
  service: string,
  nowMs: number,
): readonly StreamAssignment[] {
  return [...log.values()]
    .filter((each) => each.service === service && nowMs - each.atMs <= KEPT_MS)
    .map(({ assignment }) => assignment);
}
