/**
 * The usage duty of a gateway: it counts what its requests use, and reports the usage of the whole
 * fleet while it holds the duty. Where the platform asks for no reports, it does nothing.
 */
import { USAGE_GUARDS, UsageAcknowledgement, type UsageGuards } from '@cassiamast/coordination';
import type { Child } from '../supervisor/supervisor.js';
import type { RpcClient } from '../node/rpc-client.js';
import { RpcMethod } from '../protocol/methods.js';
import type { GatewayLog } from './gateway-log.js';
import { type UsageCollectorOptions, createUsageCollector } from './usage-collector.js';
import { createUsageEvidence } from './usage-evidence.js';
import {
  type UsageAnswer,
  type UsageKnowledge,
  type UsageQuestion,
  createUsageKnowledge,
} from './usage-knowledge.js';
import { type UsageMeter, type UsageReading, createUsageMeter } from './usage-meter.js';
import {
  LAST_SEND_MS,
  type UsageReporter,
  type UsageReporterOptions,
  createUsageReporter,
} from './usage-reporter.js';

const TELL_TIMEOUT_MS = 300;

/** The usage duty. */
export interface UsageDuty {
  /** Null where no reports are asked for. */
  readonly child: Child | null;
  readonly noteBegun: UsageMeter['noteBegun'];
  /** Answers the gateway that reports; null where no reports are asked for. */
  readonly onRead: (
    reader: string,
    sinceWindow: number,
    question: Partial<UsageQuestion>,
  ) => UsageAnswer | null;
  /** Acknowledges the counts that the gateway that reports has fixed. */
  readonly onFixed: UsageKnowledge['onFixed'];
  readonly onTold: (reading: UsageReading) => void;
  /** Tells the gateway that reports what it could not ask for any more. */
  readonly tellLast: () => Promise<void>;
  /** Must be called when the store has come back from an older copy. */
  readonly noteRestored: () => void;
  readonly close: () => Promise<void>;
}

/** Dependencies of the duty. */
export type UsageDutyOptions = Omit<
  UsageReporterOptions,
  'meter' | 'collector' | 'evidence' | 'guards'
> &
  Omit<UsageCollectorOptions, 'meter' | 'evidence' | 'guards'> & {
    readonly source: string;
    readonly wallMs: () => number;
    readonly rpc: Pick<RpcClient, 'call'>;
    readonly log: GatewayLog;
    /** Tests turn rules off; all are in force by default. */
    readonly guards?: UsageGuards;
  };

/** The duty where the platform asks for no reports. */
export const NO_USAGE_DUTY: UsageDuty = {
  child: null,
  noteBegun: () => undefined,
  onRead: () => null,
  onFixed: () => UsageAcknowledgement.Outdated,
  onTold: () => undefined,
  tellLast: () => Promise.resolve(),
  noteRestored: () => undefined,
  close: () => Promise.resolve(),
};

/** Creates the duty. */
export function createUsageDuty(options: UsageDutyOptions): UsageDuty {
  const { windowMs, dueMs } = options.settings;
  const { maxUpdateDelayMs } = options;
  const guards = options.guards ?? USAGE_GUARDS;
  const meter = createUsageMeter({ ...options, windowMs });
  const evidence = createUsageEvidence({
    ...options,
    times: { maxUpdateDelayMs, lastSendAfterEndMs: dueMs - LAST_SEND_MS },
    isOnlyFixer: () => reporter.isOnlyFixer(),
  });
  const collector = createUsageCollector({ ...options, meter, evidence, guards });
  const knowledge = createUsageKnowledge(options.view.fixedUsage, guards);
  const reporter: UsageReporter = createUsageReporter({
    ...options,
    meter,
    collector,
    evidence,
    guards,
  });
  return {
    child: reporter.child,
    noteBegun: meter.noteBegun,
    onRead: (reader, sinceWindow, question) => ({
      ...meter.onRead(reader, sinceWindow, question),
      fixed: knowledge.onQuestion(sinceWindow, question),
      testimony: evidence.testimony(),
    }),
    onFixed: knowledge.onFixed,
    onTold: collector.onTold,
    tellLast: async () => {
      const reader = meter.lastReader();
      if (reader === null) return;
      const told = await options.rpc.call(reader, RpcMethod.UsageTell, [meter.read(0)], {
        timeoutMs: TELL_TIMEOUT_MS,
      });
      if (told.isErr()) options.log.warn('usage not told', { cause: told.error.message });
    },
    noteRestored: reporter.noteRestored,
    close: () => {
      reporter.close();
      return options.duties.close();
    },
  };
}
