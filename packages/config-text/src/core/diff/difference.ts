/**
 * Describes one difference between two configurations, using the field names and units of the text.
 */

/** The part of the configuration that differs. */
export enum DifferenceSubject {
  Service = 'service',
  Target = 'target',
  Model = 'model',
  Call = 'call',
  Workspace = 'workspace',
  Limits = 'limits',
}

/** The kind of difference. */
export enum DifferenceChange {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
  /** The operator took the target out of service. */
  Withdrawn = 'withdrawn',
  /** A withdrawn target accepts work again. */
  Returned = 'returned',
}

/** One difference; plain data that can be serialized. */
export interface Difference {
  readonly subject: DifferenceSubject;
  readonly change: DifferenceChange;
  /** The service that contains the target, model or call; empty for other subjects. */
  readonly service: string;
  /** Name of the subject; empty for limits. */
  readonly name: string;
  /** The changed field; empty if the subject itself was added, removed, withdrawn or returned. */
  readonly field: string;
  /** The field's values as written in the text; empty if `field` is empty. */
  readonly before: string;
  readonly after: string;
}

/** Formats a difference as one line for operators. */
export function differenceText(difference: Difference): string {
  const { subject, change, service, name, field, before, after } = difference;
  const where = service === '' ? '' : ` of ${service}`;
  const what = name === '' ? subject : `${subject} ${name}${where}`;
  if (change !== DifferenceChange.Changed) return `${what}: ${change}`;
  return `${what}: ${field} ${before} → ${after}`;
}
