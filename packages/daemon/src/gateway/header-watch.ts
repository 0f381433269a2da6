/**
 * Tells operators of headers in targets' answers that this version does not know. Guards against a
 * header that asks for something and is never read: it shows as a request that is kept by nobody.
 */
import type { TargetEntry } from '@cassiamast/coordination';
import type { AnswerHead } from '@cassiamast/ports';
import type { GatewayLog } from './gateway-log.js';

/** Names that are told, each once; a target that makes up names must not fill the log. */
const MAX_NAMES = 64;

/** Looks at the heads of answers. */
export interface HeaderWatch {
  readonly note: (target: TargetEntry, head: AnswerHead) => void;
}

/** Makes a watch that has told nothing yet. */
export function createHeaderWatch(log: GatewayLog): HeaderWatch {
  const told = new Set<string>();
  return {
    note: (target, { status, unknownHeaders }) => {
      for (const header of unknownHeaders) {
        if (told.has(header) || told.size >= MAX_NAMES) continue;
        told.add(header);
        log.warn('answer header not known', { header, target: target.id, status });
      }
    },
  };
}
