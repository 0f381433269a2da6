/**
 * Logs and counts the changes of targets' availability, so that a request to a leaving target can be
 * traced to what the gateway knew of that target.
 */
import {
  type OnTargetTransition,
  TargetTransition,
  describeRevision,
} from '@cassiamast/coordination';
import type { GatewayLog } from './gateway-log.js';

/** A replaced target has no line of its own: the follower logs both of its starts together. */
const MESSAGES: Readonly<Partial<Record<TargetTransition, string>>> = {
  [TargetTransition.Draining]: 'target leaves',
  [TargetTransition.Missing]: 'target entry missing',
  [TargetTransition.Reappeared]: 'target entry back',
  [TargetTransition.Removed]: 'target removed',
  [TargetTransition.Doubted]: 'target listed again after it left',
};

/** Returns a listener that writes one line for each transition. */
export function logTargetTransitions(
  log: GatewayLog,
  count: (name: string) => void,
): OnTargetTransition {
  return (transition, { id, service }, revision) => {
    count(`targets_${transition}_total`);
    const message = MESSAGES[transition];
    if (message === undefined) return;
    log.info(message, { target: id, service, revision: describeRevision(revision) });
  };
}
