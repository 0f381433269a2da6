/**
 * Groups the kinds of events into categories for the page, so that failures and their causes are
 * easy to find. Each category has its own row in a lane and its own colour.
 */
import { EventKind } from '../event.js';

/** Categories of event kinds. */
export enum EventCategory {
  /** Normal processing of a request. */
  Request = 'request',
  /** A request is retried, resumed, taken over or rejected. */
  Rescue = 'rescue',
  /** Orders, role changes, model loads and the authority to order them. */
  Control = 'control',
  /** Changes of processes, members and the configuration. */
  Fleet = 'fleet',
  /** Failures. */
  Trouble = 'trouble',
}

/** Label and colour of a category. */
export interface CategoryStyle {
  readonly label: string;
  readonly colour: string;
}

/**
 * Styles of the categories. The colours are distinguishable on white with red-green colour
 * blindness.
 */
export const CATEGORY_STYLES: Readonly<Record<EventCategory, CategoryStyle>> = {
  [EventCategory.Trouble]: { label: 'Trouble', colour: '#c0392b' },
  [EventCategory.Rescue]: { label: 'Retried, resumed, refused', colour: '#e08e0b' },
  [EventCategory.Request]: { label: 'Requests', colour: '#2f6fbb' },
  [EventCategory.Control]: { label: 'Orders and roles', colour: '#8e44ad' },
  [EventCategory.Fleet]: { label: 'Processes and configuration', colour: '#4b7f52' },
};

/** Category of each event kind. */
export const CATEGORY_OF: Readonly<Record<EventKind, EventCategory>> = {
  [EventKind.ProcessStarted]: EventCategory.Fleet,
  [EventKind.ProcessStopping]: EventCategory.Fleet,
  [EventKind.RequestAccepted]: EventCategory.Request,
  [EventKind.RequestRefused]: EventCategory.Rescue,
  [EventKind.RequestDispatched]: EventCategory.Request,
  [EventKind.RequestRetried]: EventCategory.Rescue,
  [EventKind.RequestResumed]: EventCategory.Rescue,
  [EventKind.RequestAnswered]: EventCategory.Request,
  [EventKind.RequestFailed]: EventCategory.Trouble,
  [EventKind.RequestTakenOver]: EventCategory.Rescue,
  [EventKind.MemberChanged]: EventCategory.Fleet,
  [EventKind.ConfigurationInForce]: EventCategory.Fleet,
  [EventKind.ConfigurationDoubted]: EventCategory.Trouble,
  [EventKind.AuthorityGained]: EventCategory.Control,
  [EventKind.AuthorityLost]: EventCategory.Control,
  [EventKind.OrderGiven]: EventCategory.Control,
  [EventKind.OrderRefused]: EventCategory.Control,
  [EventKind.OrderDone]: EventCategory.Control,
  [EventKind.RoleDecision]: EventCategory.Control,
  [EventKind.LoadDecision]: EventCategory.Control,
  [EventKind.TargetDraining]: EventCategory.Fleet,
  [EventKind.TargetEjected]: EventCategory.Trouble,
  [EventKind.TargetReadmitted]: EventCategory.Fleet,
  [EventKind.EngineCrashed]: EventCategory.Trouble,
  [EventKind.RequestSuspected]: EventCategory.Trouble,
  [EventKind.RequestConvicted]: EventCategory.Trouble,
  [EventKind.KeyValueOutage]: EventCategory.Trouble,
  [EventKind.KeyValueBack]: EventCategory.Fleet,
  [EventKind.ClaimTaken]: EventCategory.Request,
  [EventKind.ClaimRefused]: EventCategory.Rescue,
};
