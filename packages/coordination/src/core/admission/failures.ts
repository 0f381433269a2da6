/** Failures of admission control. Each guarantees that no target has received the request. */
import { defineFailure } from '../failures/failure.js';

/** Data that a rejected caller receives. */
export interface RefusalData {
  readonly service: string;
  readonly workspace: string;
  /** Time after which a retry is likely to be admitted, in milliseconds from now. */
  readonly retryAfterMs: number;
}

/** The queue in front of the service is full. */
export const QUEUE_FULL = defineFailure({
  name: 'admission-queue-full',
  title: 'Too many requests wait',
  message: (data: RefusalData) => `The queue of service ${data.service} is full.`,
  hint: 'The request was not run. Send it again after the stated time.',
});

/** The workspace has reached its limit of queued requests. */
export const WORKSPACE_QUEUE_FULL = defineFailure({
  name: 'admission-workspace-queue-full',
  title: 'Too many requests of this workspace wait',
  message: (data: RefusalData) =>
    `Workspace ${data.workspace} has too many requests waiting for service ${data.service}.`,
  hint: 'The request was not run. Send fewer at once, or again after the stated time.',
});

/** The predicted wait exceeds the time the request can wait. */
export const WAIT_TOO_LONG = defineFailure({
  name: 'admission-wait-too-long',
  title: 'The wait would be too long',
  message: (data: RefusalData) =>
    `Service ${data.service} cannot begin the request within its time.`,
  hint: 'The request was not run. Send it again after the stated time.',
});

/** The workspace has used up its rate limit in tokens per second. */
export const WORKSPACE_LIMIT = defineFailure({
  name: 'admission-workspace-limit',
  title: 'The workspace is at its limit',
  message: (data: RefusalData) => `Workspace ${data.workspace} is above its tokens a second.`,
  hint: 'The request was not run. Send it again after the stated time.',
});

/** The service is shed under overload, in favor of more important ones. */
export const SERVICE_SHED = defineFailure({
  name: 'admission-service-shed',
  title: 'The service is shed under overload',
  message: (data: RefusalData) => `Service ${data.service} takes no work while others need it.`,
  hint: 'The request was not run. Send it again after the stated time.',
});
