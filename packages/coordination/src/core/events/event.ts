/**
 * Typed events of the time line. Every process keeps the latest in a bounded ring and stamps each
 * with a hybrid logical clock, so that a cause sorts before its effect even where the wall clocks
 * of two VMs differ.
 */

/** What kind of thing happened; the time line filters and colours by it. */
export enum EventKind {
  ProcessStarted = 'process-started',
  ProcessStopping = 'process-stopping',
  RequestAccepted = 'request-accepted',
  RequestRefused = 'request-refused',
  RequestDispatched = 'request-dispatched',
  RequestRetried = 'request-retried',
  RequestResumed = 'request-resumed',
  RequestAnswered = 'request-answered',
  RequestFailed = 'request-failed',
  RequestTakenOver = 'request-taken-over',
  MemberChanged = 'member-changed',
  ConfigurationInForce = 'configuration-in-force',
  ConfigurationDoubted = 'configuration-doubted',
  AuthorityGained = 'authority-gained',
  AuthorityLost = 'authority-lost',
  OrderGiven = 'order-given',
  OrderRefused = 'order-refused',
  OrderDone = 'order-done',
  RoleDecision = 'role-decision',
  LoadDecision = 'load-decision',
  TargetDraining = 'target-draining',
  TargetEjected = 'target-ejected',
  TargetReadmitted = 'target-readmitted',
  EngineCrashed = 'engine-crashed',
  RequestSuspected = 'request-suspected',
  RequestConvicted = 'request-convicted',
  KeyValueOutage = 'key-value-outage',
  KeyValueBack = 'key-value-back',
  ClaimTaken = 'claim-taken',
  ClaimRefused = 'claim-refused',
}

/** A reading of a hybrid logical clock: wall time, then a counter that breaks ties causally. */
export interface HybridTime {
  readonly wallMs: number;
  readonly counter: number;
}

/** One event. Absent fields do not apply to its kind. */
export interface TimelineEvent {
  readonly kind: EventKind;
  readonly at: HybridTime;
  /** Member id of the process that saw it. */
  readonly process: string;
  /** Text of the request key, where the event belongs to one request. */
  readonly request?: string;
  readonly workspace?: string;
  readonly service?: string;
  readonly target?: string;
  /** Why it was decided, in one sentence for a person. */
  readonly reason?: string;
  /** The figures that the decision rested on. */
  readonly figures?: Readonly<Record<string, number | string | boolean>>;
}

/** An event as decision code emits it: the process stamps and signs it. */
export type UnstampedEvent = Omit<TimelineEvent, 'at' | 'process'>;
