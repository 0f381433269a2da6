/**
 * What the sidecar's attempts run on: a model engine or a plain service. A backend starts work and
 * reports what becomes of it as events of the library's attempt machine.
 */
import type { Attempt, HostEvent } from '@cassiamast/coordination';

/** Runs attempts. */
export interface Backend {
  readonly start: (attempt: Attempt, payload: unknown, continueFrom: readonly string[]) => void;
  /** Takes up a stream that a former sidecar started. */
  readonly resume: (attemptId: string, fromIndex: number) => void;
  readonly cancel: (attemptId: string) => void;
  /** Starts nothing more; releases its connections when what runs has ended. */
  readonly retire: () => void;
}

/** Takes what a backend reports. */
export type OnBackendEvent = (event: HostEvent) => void;
