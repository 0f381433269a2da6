/**
 * Processor time and memory of a process, from Linux's /proc.
 */
import { readFileSync } from 'node:fs';

/** Ticks a second of the times in /proc; the same on all common builds of Linux. */
const TICKS_PER_S = 100;
const UTIME_FIELD = 11;
const STIME_FIELD = 12;

/** Processor seconds that a process has used so far. */
export function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${String(pid)}/stat`, 'utf8');
  // The second field is the program's name in brackets and may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD])) / TICKS_PER_S;
}

/** Resident memory of a process. */
export function residentKb(pid: number): number {
  const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0);
}
