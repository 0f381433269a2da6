/**
 * Keeps resumable streams from engines whose version the record of their service does not list. If all
 * gateways are lost before it does, those that start again would not know that streams began there.
 */
import {
  EnginePhase,
  type FleetView,
  type TargetEntry,
  servingTargets,
} from '@cassiamast/coordination';
import type { Exchange } from './exchange.js';
import type { VersionRecorder } from './version-recorder.js';

/** Dependencies of the check. */
export interface UnrecordedVersionsOptions {
  readonly view: FleetView;
  readonly recorder: Pick<VersionRecorder, 'isRecorded' | 'isFailing' | 'record'>;
  /** Returns the targets of a service that take no requests now, as far as they have told. */
  readonly unavailable: (service: string) => readonly string[];
  readonly nowMs: () => number;
}

/** The check of versions before streams begin at them. */
export interface UnrecordedVersions {
  /**
   * Resolves with whether a stream may begin at a version: the record lists it, at the latest now, or
   * lists none at which an engine could decode the stream.
   */
  readonly mayBeginAt: (exchange: Exchange, version: string) => Promise<boolean>;
  /** Returns the engines that a stream would be rejected at, while the store takes no addition. */
  readonly enginesToAvoid: (exchange: Exchange) => readonly string[];
}

/** Creates the check. */
export function createUnrecordedVersions(options: UnrecordedVersionsOptions): UnrecordedVersions {
  const { view, recorder, unavailable, nowMs } = options;

  /** Returns the engines that could decode a stream, by whether their versions are recorded. */
  function decodingEngines(
    { service, failedTargets }: Exchange,
    isRecorded: boolean,
  ): readonly TargetEntry[] {
    const excluded = new Set([...failedTargets, ...unavailable(service)]);
    return servingTargets(view, service, nowMs()).filter(
      ({ id, phase, version }) =>
        !excluded.has(id) &&
        phase !== EnginePhase.Prefill &&
        recorder.isRecorded(service, version) === isRecorded,
    );
  }

  return {
    mayBeginAt: async (exchange, version) => {
      if (!exchange.route.resumable) return true;
      if (await recorder.record(exchange.service, version)) return true;
      return decodingEngines(exchange, true).length === 0;
    },
    enginesToAvoid: (exchange) => {
      if (!exchange.route.resumable || !recorder.isFailing(exchange.service)) return [];
      if (decodingEngines(exchange, true).length === 0) return [];
      return decodingEngines(exchange, false).map(({ id }) => id);
    },
  };
}
