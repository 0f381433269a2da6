/**
 * Defines the schema of the operators' text: all fields with defaults and descriptions. The JSON
 * Schema for editors is generated from it. References between names are checked in `names/`.
 */
import { TargetKind } from '@cassiamast/coordination';
import { z } from 'zod';
import {
  MAX_ADAPTERS_PER_MODEL,
  MAX_CALLS_PER_SERVICE,
  MAX_FAILURE_DOMAINS,
  MAX_KEYS_PER_WORKSPACE,
  MAX_MODELS_PER_SERVICE,
  MAX_SERVICES,
  MAX_TARGETS_PER_SERVICE,
  MAX_WORKSPACES,
} from '../compile/limits.js';
import {
  DURATION,
  RATIO,
  SIZE_BYTES,
  SIZE_MB,
  TARGET_COUNT,
  TOKENS,
  TOKEN_RATE,
} from '../quantities/quantity.js';
import {
  addressField,
  digestField,
  modelField,
  nameField,
  pathField,
  quantityField,
  versionField,
} from './fields.js';

const MAX_PRIORITY = 100;
const MAX_SHARE = 1_000_000;

/** Schema of a target. */
export const targetSchema = z.strictObject({
  name: nameField.describe('Unique over the whole text.'),
  failureDomain: nameField.describe('One of the declared failure domains.'),
  sidecar: addressField.describe('Where the process in the slot beside the target listens.'),
  backend: addressField.describe('Where the engine or plain service listens.'),
  checksFencing: z
    .boolean()
    .optional()
    .describe('Overrides the service’s checksFencing for this target.'),
  withdrawn: z
    .boolean()
    .default(false)
    .describe('true takes the target out: no new work, running work ends.'),
});

/** Schema of a model that a model engine service provides. */
export const modelSchema = z.strictObject({
  name: modelField.describe('As callers name it in their requests.'),
  version: versionField.describe('The version that the engines must hold.'),
  adapters: z.array(modelField).max(MAX_ADAPTERS_PER_MODEL).default([]),
  size: quantityField(SIZE_MB, { min: '1 MB', max: '10 TB' }, 'Size of the weights.'),
});

/** Schema of the calls to a plain service under one path prefix. */
export const callSchema = z.strictObject({
  path: pathField.describe('Calls that begin with this path; the longest match decides.'),
  repeatable: z.boolean().describe('false: each request runs at most once, whatever fails.'),
});

/** Schema of the latency goals of a service. */
export const goalsSchema = z.strictObject({
  firstToken: quantityField(
    DURATION,
    { min: '1 ms', max: '10 min' },
    'Time to the first token, or to the answer of a plain service.',
  ).prefault('360 ms'),
  interToken: quantityField(
    DURATION,
    { min: '1 ms', max: '1 min' },
    '95 in 100 gaps between tokens are within this.',
  ).prefault('80 ms'),
});

/** Schema of a service. */
export const serviceSchema = z.strictObject({
  name: nameField.describe('Unique; callers of plain services use it in the path.'),
  kind: z.enum(TargetKind),
  dependsOn: z
    .array(nameField)
    .max(MAX_SERVICES)
    .default([])
    .describe('Services that must be ready for this one to be ready.'),
  priority: z
    .int()
    .min(0)
    .max(MAX_PRIORITY)
    .default(MAX_PRIORITY / 2)
    .describe('Under overload, services of lower priority are refused first.'),
  deadline: quantityField(
    DURATION,
    { min: '100 ms', max: '24 h' },
    'The longest a request may take.',
  ).prefault('10 min'),
  retryBudget: quantityField(
    RATIO,
    { min: '0 %', max: '100 %' },
    'Second tries allowed per first tries.',
  ).prefault('10 %'),
  floor: quantityField(
    TARGET_COUNT,
    { min: '0 targets', max: '2048 targets' },
    'The fewest targets that planned changes leave serving; three quarters by default.',
  ).optional(),
  rolesMayChange: z
    .boolean()
    .optional()
    .describe('Whether engines may change their role with the mix; true by default.'),
  checksFencing: z
    .boolean()
    .optional()
    .describe('Whether the engines refuse orders with an old fencing number; false by default.'),
  goals: goalsSchema.prefault({}),
  models: z.array(modelSchema).max(MAX_MODELS_PER_SERVICE).optional(),
  calls: z.array(callSchema).max(MAX_CALLS_PER_SERVICE).optional(),
  targets: z.array(targetSchema).min(1).max(MAX_TARGETS_PER_SERVICE),
});

/** Schema of a workspace. */
export const workspaceSchema = z.strictObject({
  name: nameField.describe('Unique.'),
  share: z
    .number()
    .positive()
    .max(MAX_SHARE)
    .default(1)
    .describe('Weight in the fair shares, relative to the other workspaces.'),
  apiKeySha256: z
    .array(digestField)
    .min(1)
    .max(MAX_KEYS_PER_WORKSPACE)
    .describe('SHA-256 digests of the workspace’s API keys.'),
  maxTokens: quantityField(
    TOKEN_RATE,
    { min: '1 tokens/s', max: '100000000 tokens/s' },
    'Upper bound beside the fair share; none by default.',
  ).optional(),
});

/** Schema of the limits of the whole deployment. */
export const limitsSchema = z.strictObject({
  answerRetention: quantityField(
    DURATION,
    { min: '10 s', max: '24 h' },
    'How long a finished answer is kept for a caller that returns late.',
  ).prefault('15 min'),
  maxPrompt: quantityField(
    TOKENS,
    { min: '1 tokens', max: '10000000 tokens' },
    'Longest prompt.',
  ).prefault('200000 tokens'),
  maxOutput: quantityField(
    TOKENS,
    { min: '1 tokens', max: '1000000 tokens' },
    'Longest answer.',
  ).prefault('8192 tokens'),
  maxBody: quantityField(
    SIZE_BYTES,
    { min: '1 KB', max: '64 MB' },
    'Largest request body.',
  ).prefault('4 MB'),
  drain: quantityField(
    DURATION,
    { min: '1 s', max: '24 h' },
    'How long a process that shuts down waits for its running requests.',
  ).prefault('10 min'),
});

/** Schema of the whole text. */
export const textSchema = z.strictObject({
  failureDomains: z
    .array(nameField)
    .min(1)
    .max(MAX_FAILURE_DOMAINS)
    .describe('Every failure domain that a target may name.'),
  services: z.array(serviceSchema).min(1).max(MAX_SERVICES),
  workspaces: z.array(workspaceSchema).min(1).max(MAX_WORKSPACES),
  limits: limitsSchema.prefault({}),
});

/** The validated text, with units converted and defaults filled in. */
export type ValidatedText = z.output<typeof textSchema>;
/** A service of the validated text. */
export type ValidatedService = ValidatedText['services'][number];
/** A workspace of the validated text. */
export type ValidatedWorkspace = ValidatedText['workspaces'][number];
