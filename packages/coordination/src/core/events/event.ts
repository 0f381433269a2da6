/**
 * Types of the events in the time line. Each process keeps its latest events in a bounded ring
 * buffer and timestamps them with a hybrid logical clock, so that causes sort before their effects
 * even if the wall clocks of two VMs differ.
 */

/** Kinds of events, by which the time line is filtered and coloured. */
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

/** A timestamp of a hybrid logical clock: wall time plus a counter that orders equal wall times. */
export interface HybridTime {
  readonly wallMs: number;
  readonly counter: number;
}

/** An event. Absent fields do not apply to its kind. */
export interface TimelineEvent {
  readonly kind: EventKind;
  readonly at: HybridTime;
  /** Member id of the process that recorded it. */
  readonly process: string;
  /** Serialized request key, if the event belongs to a single request. */
  readonly request?: string;
  readonly workspace?: string;
  readonly service?: string;
  readonly target?: string;
  /** Reason for the decision, in one sentence for a person. */
  readonly reason?: string;
  /** Values on which the decision was based. */
  readonly figures?: Readonly<Record<string, number | string | boolean>>;
}

/** An event as emitted by decision code. The process adds the timestamp and its member id. */
export type UnstampedEvent = Omit<TimelineEvent, 'at' | 'process'>;
