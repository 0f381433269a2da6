/**
 * One difference between two configurations, in the words of the text.
 */

/** What part of the configuration differs. */
export enum DifferenceSubject {
  Service = 'service',
  Target = 'target',
  Model = 'model',
  Call = 'call',
  Workspace = 'workspace',
  Limits = 'limits',
}

/** How it differs. */
export enum DifferenceChange {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
  /** A target is taken out of service by the operator. */
  Withdrawn = 'withdrawn',
  /** A withdrawn target takes work again. */
  Returned = 'returned',
}

/** One difference; plain data. */
export interface Difference {
  readonly subject: DifferenceSubject;
  readonly change: DifferenceChange;
  /** The service around a target, model or call; empty for the other subjects. */
  readonly service: string;
  /** Name of the subject; empty for the limits. */
  readonly name: string;
  /** The field that changed; empty for a whole subject. */
  readonly field: string;
  /** The field's values as operators write them; empty for a whole subject. */
  readonly before: string;
  readonly after: string;
}

/** The difference as one line for a person. */
export function differenceText(difference: Difference): string {
  const { subject, change, service, name, field, before, after } = difference;
  const where = service === '' ? '' : ` of ${service}`;
  const what = name === '' ? subject : `${subject} ${name}${where}`;
  if (change !== DifferenceChange.Changed) return `${what}: ${change}`;
  return `${what}: ${field} ${before} → ${after}`;
}
