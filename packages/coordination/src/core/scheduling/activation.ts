/**
 * Conditions under which a behavior of the scheduler is active. Services whose routes all have one
 * priority are served as before; the other values switch a behavior for measurements.
 */

/** When a behavior is active. */
export enum Activation {
  Never = 'never',
  /** For services whose routes differ in priority. */
  WhenPrioritiesDiffer = 'when-priorities-differ',
  Always = 'always',
}

/** Returns whether a behavior is active for a service. */
export function isActive(activation: Activation, prioritiesDiffer: boolean): boolean {
  if (activation === Activation.WhenPrioritiesDiffer) return prioritiesDiffer;
  return activation === Activation.Always;
}
