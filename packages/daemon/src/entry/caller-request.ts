/**
 * A caller's request in the product's own terms, whatever interface it came through.
 */
import type { RequestKey, ResumePoint } from '@cassiamast/coordination';

/** Which interface the answer must be written in. */
export enum AnswerFormat {
  Completion = 'completion',
  Chat = 'chat',
}

/** A request to a model engine. */
export interface ModelRequest {
  readonly key: RequestKey;
  /** Whether the caller chose the key: without one, a resend is a new request. */
  readonly keyFromCaller: boolean;
  readonly service: string;
  readonly format: AnswerFormat;
  /** As the caller wrote it; written back into answers. */
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
  /** Hash of what is asked, without the key: recognises a request by its content. */
  readonly contentHash: string;
  /** Where a returning caller goes on: the last event that it read. */
  readonly resumeFrom: ResumePoint | null;
}
