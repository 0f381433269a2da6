/** Where an attempt of a request runs. */

/** A sidecar and the target beside it. */
export interface Place {
  readonly sidecar: string;
  readonly target: string;
}
