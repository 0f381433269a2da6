/**
 * The interface between the sidecar and the service behind its target, which is a model engine or a
 * plain service. A backend starts attempts and reports their progress and outcome as events of the
 * library's attempt machine.
 */
import type { Attempt, HostEvent } from '@cassiamast/coordination';

/** Runs attempts on an engine or a plain service. */
export interface Backend {
  readonly start: (attempt: Attempt, payload: unknown, continueFrom: readonly string[]) => void;
  /** Resumes a stream that an earlier sidecar process started. */
  readonly resume: (attemptId: string, fromIndex: number) => void;
  readonly cancel: (attemptId: string) => void;
  /** Accepts no new work and closes its connections once the running attempts have ended. */
  readonly retire: () => void;
}

/** Receives the events that a backend reports. */
export type OnBackendEvent = (event: HostEvent) => void;
