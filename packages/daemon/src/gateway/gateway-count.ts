/**
 * Counts the gateways that share a common allowance, such as retries and the rate limits of
 * targets, and knows this gateway's share. Each gateway limits itself to its share, which needs no
 * coordination per request.
 */
import {
  type AllowanceShare,
  type AllowanceShareOptions,
  type ClockReading,
  type FleetView,
  type ShareState,
  allowanceShare,
  createShareKnowledge,
  currentAnnouncement,
  gatewayCount,
  recordAnnouncement,
  recordFirstStart,
  recordFleetRead,
  recordGateways,
  recordRenewal,
} from '@cassiamast/coordination';
import type { GatewayLog } from './gateway-log.js';

/** Dependencies of the count. */
export interface GatewayCountOptions {
  readonly selfId: string;
  readonly view: FleetView;
  readonly share: AllowanceShareOptions;
  readonly clocks: () => ClockReading;
  readonly log: GatewayLog;
}

/** A call to the store that has begun; the function is called when the store has confirmed it. */
export type BeginCall = () => () => void;

/** Counts gateways. */
export interface GatewayCount {
  /** Records the announced gateways. Must be called often compared to the window. */
  readonly refresh: () => void;
  /**
   * Returns the number of gateways that may use a part of an allowance, including this one; infinite
   * as long as this gateway knows no other and none knows it.
   */
  readonly count: () => number;
  /** Returns the share of an allowance that this gateway may use now. */
  readonly share: () => AllowanceShare;
  readonly beginAnnouncement: BeginCall;
  readonly beginRenewal: BeginCall;
  readonly beginRead: BeginCall;
  /**
   * Whether a read of the fleet that was sent after the announcement of this gateway was confirmed
   * does not have it: the others do not count it then.
   */
  readonly isMissing: () => boolean;
  /** Records a gateway that was announced, even if it has disappeared since. */
  readonly noteAnnounced: (id: string) => void;
  /** Returns the announcement of this gateway once the fleet was read too, otherwise null. */
  readonly announcement: () => number | null;
  /** Records that all gateways that may use an allowance know that announcement. */
  readonly joinFirstStart: (announcement: number) => void;
}

/** Creates a count of the gateways in a view. */
export function createGatewayCount(options: GatewayCountOptions): GatewayCount {
  const { selfId, view, clocks, log } = options;
  const knowledge = createShareKnowledge(options.share);
  let lastState: ShareState | null = null;
  let announcedAtMs = Infinity;

  function recordView(): void {
    recordGateways(knowledge, [...view.gateways.keys(), selfId], clocks());
  }

  function share(): AllowanceShare {
    recordView();
    return allowanceShare(knowledge, clocks());
  }

  function logChange(): void {
    const { state, fraction, gateways } = share();
    if (state !== lastState) log.info('share of common allowances', { state, fraction, gateways });
    lastState = state;
  }

  return {
    refresh: logChange,
    count: () => Math.max(view.gateways.size, gatewayCount(knowledge)),
    share,
    beginAnnouncement: () => {
      const sentAtMs = clocks().elapsedMs;
      return () => {
        recordAnnouncement(knowledge, sentAtMs, clocks());
        announcedAtMs = clocks().elapsedMs;
      };
    },
    beginRenewal: () => {
      const sentAtMs = clocks().elapsedMs;
      return () => {
        recordRenewal(knowledge, sentAtMs);
      };
    },
    beginRead: () => {
      const sentAtMs = clocks().elapsedMs;
      return () => {
        recordFleetRead(knowledge, sentAtMs, clocks());
      };
    },
    isMissing: () => knowledge.readAtMs > announcedAtMs && !view.gateways.has(selfId),
    noteAnnounced: (id) => {
      recordGateways(knowledge, [id], clocks());
    },
    announcement: () => currentAnnouncement(knowledge),
    joinFirstStart: (announcement) => {
      recordFirstStart(knowledge, announcement, clocks());
    },
  };
}
