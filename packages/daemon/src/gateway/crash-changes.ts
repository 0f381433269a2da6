/**
 * Logs and counts the changes of what a gateway knows of crashing requests, so that a rejection, or
 * a request that was not rejected, can be traced to the crashes that the gateway knew of.
 */
import { CrashChangeKind, type OnCrashChange } from '@cassiamast/coordination';
import type { GatewayLog } from './gateway-log.js';

const MESSAGES: Readonly<Record<CrashChangeKind, string>> = {
  [CrashChangeKind.Noted]: 'crash noted',
  [CrashChangeKind.Quarantined]: 'content quarantined',
  [CrashChangeKind.Excused]: 'crash excused',
  [CrashChangeKind.Removed]: 'crash note removed',
};

/** Returns a listener that writes one line for each change. */
export function logCrashChanges(log: GatewayLog, count: (name: string) => void): OnCrashChange {
  return ({ kind, content, target, source, removal, targets }) => {
    count(`crash_contents_${kind}_total`);
    const reason = removal === null ? { source } : { reason: removal };
    const write = kind === CrashChangeKind.Quarantined ? log.lifecycle : log.info;
    write(MESSAGES[kind], { content, target, ...reason, crashed: targets });
  };
}
