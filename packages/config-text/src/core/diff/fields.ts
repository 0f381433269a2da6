/**
 * Lists the fields that are compared for each subject, with their names and value formats in the
 * text.
 */
import type {
  Address,
  CallSpec,
  LimitsSpec,
  ModelSpec,
  ServiceSpec,
  TargetSpec,
  WorkspaceSpec,
} from '@cassiamast/coordination';
import {
  DURATION,
  formatQuantity,
  RATIO,
  SIZE_BYTES,
  SIZE_MB,
  TARGET_COUNT,
  TOKENS,
  TOKEN_RATE,
  type Dimension,
} from '../quantities/quantity.js';

/** A compared field: its name in the text and its value formatted as in the text. */
export interface ComparedField<Spec> {
  readonly field: string;
  readonly valueOf: (spec: Spec) => string;
}

function quantity<Spec>(
  field: string,
  dimension: Dimension,
  amountOf: (spec: Spec) => number,
): ComparedField<Spec> {
  return { field, valueOf: (spec) => formatQuantity(amountOf(spec), dimension) };
}

function plain<Spec>(
  field: string,
  valueOf: (spec: Spec) => string | number | boolean,
): ComparedField<Spec> {
  return { field, valueOf: (spec) => String(valueOf(spec)) };
}

function list<Spec>(
  field: string,
  itemsOf: (spec: Spec) => readonly string[],
): ComparedField<Spec> {
  return { field, valueOf: (spec) => `[${[...itemsOf(spec)].sort().join(', ')}]` };
}

function addressText({ host, port }: Address): string {
  return host.includes(':') ? `[${host}]:${String(port)}` : `${host}:${String(port)}`;
}

export const SERVICE_FIELDS: readonly ComparedField<ServiceSpec>[] = [
  plain('kind', ({ kind }) => kind),
  list('dependsOn', ({ dependsOn }) => dependsOn),
  plain('priority', ({ priority }) => priority),
  quantity('deadline', DURATION, ({ deadlineMs }) => deadlineMs),
  quantity('retryBudget', RATIO, ({ retryBudgetRatio }) => retryBudgetRatio),
  quantity('floor', TARGET_COUNT, ({ floorTargets }) => floorTargets),
  plain('rolesMayChange', ({ rolesMayChange }) => rolesMayChange),
  quantity('goals.firstToken', DURATION, ({ goals }) => goals.firstTokenMs),
  quantity('goals.interToken', DURATION, ({ goals }) => goals.interTokenMs),
];

/** Excludes `withdrawn`, which is reported as a separate kind of change. */
export const TARGET_FIELDS: readonly ComparedField<TargetSpec>[] = [
  plain('failureDomain', ({ failureDomain }) => failureDomain),
  plain('sidecar', ({ sidecar }) => addressText(sidecar)),
  plain('backend', ({ backend }) => addressText(backend)),
  plain('checksFencing', ({ checksFencing }) => checksFencing),
];

export const MODEL_FIELDS: readonly ComparedField<ModelSpec>[] = [
  plain('version', ({ version }) => version),
  list('adapters', ({ adapters }) => adapters),
  quantity('size', SIZE_MB, ({ sizeMb }) => sizeMb),
];

export const CALL_FIELDS: readonly ComparedField<CallSpec>[] = [
  plain('repeatable', ({ repeatable }) => repeatable),
];

export const WORKSPACE_FIELDS: readonly ComparedField<WorkspaceSpec>[] = [
  plain('share', ({ share }) => share),
  list('apiKeySha256', ({ apiKeySha256 }) => apiKeySha256),
  plain('maxTokens', ({ maxTokensPerS }) =>
    maxTokensPerS === null ? 'none' : formatQuantity(maxTokensPerS, TOKEN_RATE),
  ),
];

export const LIMITS_FIELDS: readonly ComparedField<LimitsSpec>[] = [
  quantity('answerRetention', DURATION, ({ answerRetentionMs }) => answerRetentionMs),
  quantity('maxPrompt', TOKENS, ({ maxPromptTokens }) => maxPromptTokens),
  quantity('maxOutput', TOKENS, ({ maxOutputTokens }) => maxOutputTokens),
  quantity('maxBody', SIZE_BYTES, ({ maxBodyBytes }) => maxBodyBytes),
  quantity('drain', DURATION, ({ drainMs }) => drainMs),
];
