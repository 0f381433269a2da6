/**
 * A caller's request in a form that does not depend on the API through which it arrived.
 */
import type { RequestKey, ResumePoint } from '@cassiamast/coordination';

/** The API format in which the answer is written. */
export enum AnswerFormat {
  Completion = 'completion',
  Chat = 'chat',
}

/** A request to a model engine. */
export interface ModelRequest {
  readonly key: RequestKey;
  /** Whether the caller sent the idempotency key. Without one, a retry is a new request. */
  readonly keyFromCaller: boolean;
  readonly service: string;
  readonly format: AnswerFormat;
  /** The model name as the caller wrote it; repeated in the answer. */
  readonly modelText: string;
  readonly model: string;
  readonly adapter: string | null;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  /** 0 (lowest) to 7 (highest). */
  readonly priority: number;
  readonly timeoutMs: number;
  /** Hash of the request's content without its key; identifies requests with equal content. */
  readonly contentHash: string;
  /** The last event that a reconnecting caller received; the answer resumes after it. */
  readonly resumeFrom: ResumePoint | null;
}
