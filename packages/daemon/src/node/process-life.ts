/** How a process ends. */

/** Why a process stops. */
export enum StopReason {
  /** It was told to. */
  Told = 'told',
  /** A part of it failed for good, or an error was caught nowhere. */
  Failed = 'failed',
}
