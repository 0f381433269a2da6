/** Follows the platform's lagging list of VMs, one sign among several of a target that leaves. */
import { type VmListPort, VmState } from '@cassiamast/ports';
import type { Child } from '../supervisor/supervisor.js';
import { formatAddress } from './address.js';
import { createPeriodic } from './timers.js';

const POLL_MS = 2_000;
/** A list that could not be read for so long says nothing any more. */
const BELIEVED_MS = 30_000;

/** The list as last read. */
export interface VmListDriver {
  readonly child: Child;
  /** Whether the list names this control address as leaving; null when it says nothing of it. */
  readonly listedLeaving: (memberId: string) => boolean | null;
}

/** Makes the driver; `onChange` is called when the list differs from before. */
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
    const next = new Map(listed.value.map((vm) => [formatAddress(vm), vm.state]));
    const changed = [...next].some(([id, state]) => states.get(id) !== state);
    states = next;
    if (changed) onChange();
  }

  return {
    child: createPeriodic('vm-list', () => POLL_MS, poll),
    listedLeaving: (memberId) => {
      if (nowMs() - readAtMs > BELIEVED_MS) return null;
      const state = states.get(memberId);
      return state === undefined ? null : state === VmState.Leaving;
    },
  };
}
