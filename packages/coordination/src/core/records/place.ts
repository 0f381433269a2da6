/** Describes where an attempt of a request runs. */

/** A sidecar and the target that it serves. */
export interface Place {
  readonly sidecar: string;
  readonly target: string;
}
