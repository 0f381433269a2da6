/**
 * Polls the platform's list of VMs, which lags behind the actual state. The list is one of several
 * signs that a target is leaving.
 */
import { type VmListPort, VmState } from '@cassiamast/ports';
import type { Child } from '../supervisor/supervisor.js';
import { formatAddress } from './address.js';
import { createPeriodic } from './timers.js';

const POLL_MS = 2_000;
/** A list that was read longer ago than this is ignored. */
const MAX_LIST_AGE_MS = 30_000;

/** The VM list as last read. */
export interface VmListDriver {
  readonly child: Child;
  /** Whether the list shows this member as leaving; null if it is outdated or lacks the member. */
  readonly listedLeaving: (memberId: string) => boolean | null;
}

/** Creates the driver; `onChange` is called when the list has changed. */
export function createVmListDriver(
  port: VmListPort,
  nowMs: () => number,
  onChange: () => void,
): VmListDriver {
  let states = new Map<string, VmState>();
  let readAtMs = Number.NEGATIVE_INFINITY;

  async function poll(): Promise<void> {
    const listed = await port.list();
    if (listed.isErr()) return;
    readAtMs = nowMs();
    const newStates = new Map(listed.value.map((vm) => [formatAddress(vm), vm.state]));
    const hasChanged = [...newStates].some(([id, state]) => states.get(id) !== state);
    states = newStates;
    if (hasChanged) onChange();
  }

  return {
    child: createPeriodic('vm-list', () => POLL_MS, poll),
    listedLeaving: (memberId) => {
      if (nowMs() - readAtMs > MAX_LIST_AGE_MS) return null;
      const state = states.get(memberId);
      return state === undefined ? null : state === VmState.Leaving;
    },
  };
}
