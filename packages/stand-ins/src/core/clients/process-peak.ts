/** Measures what the kernel counts towards the limits of a process, from its files. */
import { readFileSync, readdirSync } from 'node:fs';

const SAMPLE_MS = 50;
const BYTES_PER_MB = 1024 * 1024;
const KB_PER_MB = 1024;
const HEX = 16;
/** Columns of `/proc/net/tcp`. */
const LOCAL_ADDRESS = 1;
const QUEUES = 4;

/** The most that a process held at once. */
export interface ProcessPeak {
  /** Resident memory and the bytes that were received for it and not read. */
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** A running measurement. */
export interface PeakWatch {
  readonly end: () => ProcessPeak;
}

/** Watches a process that listens on the given ports; after its end, its last values stay. */
export function watchPeak(pid: number, ports: readonly number[]): PeakWatch {
  let memoryMb = 0;
  let descriptors = 0;
  const sample = (): void => {
    try {
      const status = readFileSync(`/proc/${String(pid)}/status`, 'utf8');
      const sumMb = statusMb(status, 'VmRSS') + unreadMb(ports);
      // A process that has ended but is not waited for has no memory.
      if (Number.isNaN(sumMb)) return;
      memoryMb = Math.max(memoryMb, sumMb, statusMb(status, 'VmHWM'));
      descriptors = Math.max(descriptors, readdirSync(`/proc/${String(pid)}/fd`).length);
    } catch {
      // The process has ended, which the test reports by itself.
    }
  };
  const timer = setInterval(sample, SAMPLE_MS);
  return {
    end: () => {
      clearInterval(timer);
      sample();
      return { memoryMb: Math.round(memoryMb), descriptors };
    },
  };
}

function statusMb(status: string, field: string): number {
  return Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1]) / KB_PER_MB;
}

function unreadMb(ports: readonly number[]): number {
  let bytes = 0;
  for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
    const columns = line.trim().split(/\s+/);
    const port = Number.parseInt(columns[LOCAL_ADDRESS]?.split(':')[1] ?? '', HEX);
    if (!ports.includes(port)) continue;
    bytes += Number.parseInt(columns[QUEUES]?.split(':')[1] ?? '0', HEX);
  }
  return bytes / BYTES_PER_MB;
}
