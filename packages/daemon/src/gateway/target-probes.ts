/**
 * Finds out whether a silent target is down, by opening connections to it. All requests at the
 * target share them.
 */
import type { TargetEntry } from '@cassiamast/coordination';
import type { IsReachable } from '../node/reachable.js';

/** A live VM accepts a connection within this time. */
const PROBE_TIMEOUT_MS = 300;
/** A lost packet delays one connection; a target that is down accepts none. */
const FAILED_PROBES = 2;
/** How long what was found out holds for other requests. */
const KNOWN_FOR_MS = 500;

/** Probes targets. */
export interface TargetProbes {
  /** Resolves with whether a target accepts no connection, by a probe of the last moments. */
  readonly isDown: (target: TargetEntry) => Promise<boolean>;
  /** Resolves with the same, by a probe that begins after the call. */
  readonly isDownNow: (target: TargetEntry) => Promise<boolean>;
}

/** A probe of a target, and when it began. */
interface Probe {
  readonly beganAtMs: number;
  readonly isDown: Promise<boolean>;
}

/** Creates the probes. */
export function createTargetProbes(isReachable: IsReachable, nowMs: () => number): TargetProbes {
  const latest = new Map<string, Probe>();

  async function probe(address: string): Promise<boolean> {
    for (let failed = 0; failed < FAILED_PROBES; failed += 1) {
      if (await isReachable(address, PROBE_TIMEOUT_MS)) return false;
    }
    return true;
  }

  function forgetOld(): void {
    for (const [id, { beganAtMs }] of latest) {
      if (nowMs() - beganAtMs > KNOWN_FOR_MS * FAILED_PROBES) latest.delete(id);
    }
  }

  function isDownNow({ id, address }: TargetEntry): Promise<boolean> {
    forgetOld();
    const isDown = probe(address);
    latest.set(id, { beganAtMs: nowMs(), isDown });
    return isDown;
  }

  return {
    isDown: (target) => {
      const known = latest.get(target.id);
      if (known !== undefined && nowMs() - known.beganAtMs < KNOWN_FOR_MS) return known.isDown;
      return isDownNow(target);
    },
    isDownNow,
  };
}
