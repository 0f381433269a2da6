/**
 * Logs headers in targets' answers that this version does not know, because such a header may carry
 * an instruction that the gateway would otherwise ignore unnoticed.
 */
import type { TargetEntry } from '@cassiamast/coordination';
import type { AnswerHead } from '@cassiamast/ports';
import type { GatewayLog } from './gateway-log.js';

/** Each name is logged once; the limit keeps a target with random names from flooding the log. */
const MAX_LOGGED_NAMES = 64;

/** Checks the heads of answers for unknown headers. */
export interface HeaderWatch {
  readonly logUnknownHeaders: (target: TargetEntry, head: AnswerHead) => void;
}

/** Creates a watch that has logged no header yet. */
export function createHeaderWatch(log: GatewayLog): HeaderWatch {
  const loggedNames = new Set<string>();
  return {
    logUnknownHeaders: (target, { status, unknownHeaders }) => {
      for (const header of unknownHeaders) {
        if (loggedNames.has(header) || loggedNames.size >= MAX_LOGGED_NAMES) continue;
        loggedNames.add(header);
        log.warn('unknown answer header', { header, target: target.id, status });
      }
    },
  };
}
