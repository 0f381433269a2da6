/**
 * Compiles the operators' YAML text to the configuration that all processes use. If the text has
 * faults, reports all of them in one pass, ordered by position.
 */
import {
  TargetKind,
  type Configuration,
  type ServiceSpec,
  type TargetSpec,
  type WorkspaceSpec,
} from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import type { TextFault, UnlocatedFault } from '../faults/fault.js';
import { DOCUMENT_TOO_LARGE, MORE_FAULTS } from '../faults/failures.js';
import { locateFault } from '../faults/locate.js';
import { structureFaults } from '../faults/schema-issues.js';
import { sortAndLimit } from '../faults/sort-and-limit.js';
import { nameFaults } from '../names/names.js';
import { countServingTargets, defaultFloor, serviceFaults } from '../names/service-rules.js';
import {
  serviceSchema,
  textSchema,
  type ValidatedService,
  type ValidatedText,
  type ValidatedWorkspace,
} from '../schema/schema.js';
import { ENVELOPE_BYTES, MAX_DOCUMENT_BYTES } from './limits.js';
import { parseText, type ParsedText } from './parse.js';

/** A text without faults, in the forms from which its findings are determined and located. */
export interface ValidatedDocument {
  readonly parsed: ParsedText;
  readonly validated: ValidatedText;
  readonly configuration: Configuration;
}

/**
 * Validates and compiles a text. Never throws and has no side effects.
 *
 * @returns the configuration, or at most `MAX_FAULTS` faults ordered by line and column.
 */
export function compileText(text: string): Result<Configuration, readonly TextFault[]> {
  return validateText(text).map(({ configuration }) => configuration);
}

/** Like {@link compileText}, but returns the parsed and the validated text as well. */
export function validateText(text: string): Result<ValidatedDocument, readonly TextFault[]> {
  return parseText(text)
    .andThen(checkParsed)
    .andThen((document) => checkDocumentSize(text, document))
    .mapErr((faults) =>
      sortAndLimit(faults, (omitted, at) => ({ ...MORE_FAULTS.of({ omitted }), ...at })),
    );
}

function checkParsed(parsed: ParsedText): Result<ValidatedDocument, readonly TextFault[]> {
  const { raw } = parsed;
  const result = textSchema.safeParse(raw);
  const structural = result.success
    ? []
    : result.error.issues.flatMap((issue) => structureFaults(raw, issue));
  const faults = [...structural, ...nameFaults(raw), ...serviceRuleFaults(raw)];
  if (result.success && faults.length === 0) {
    return ok({ parsed, validated: result.data, configuration: toConfiguration(result.data) });
  }
  return err(faults.map(({ failure, path, atKey }) => locateFault(parsed, failure, path, atKey)));
}

/** Applies the service rules to each well-formed service, even if other services are malformed. */
function serviceRuleFaults(raw: unknown): UnlocatedFault[] {
  const services: unknown = (raw as { services?: unknown } | null)?.services;
  if (!Array.isArray(services)) return [];
  return services.flatMap((service: unknown, index) => {
    const validated = serviceSchema.safeParse(service);
    return validated.success ? serviceFaults(validated.data, index) : [];
  });
}

function checkDocumentSize(
  text: string,
  document: ValidatedDocument,
): Result<ValidatedDocument, readonly TextFault[]> {
  const storedJson = JSON.stringify({ text, compiled: document.configuration });
  const sizeBytes = Buffer.byteLength(storedJson, 'utf8') + ENVELOPE_BYTES;
  if (sizeBytes <= MAX_DOCUMENT_BYTES) return ok(document);
  const failure = DOCUMENT_TOO_LARGE.of({ sizeBytes, maxBytes: MAX_DOCUMENT_BYTES });
  return err([{ ...failure, line: 1, column: 1, path: '' }]);
}

function toConfiguration(text: ValidatedText): Configuration {
  return {
    services: text.services.map(toServiceSpec),
    workspaces: text.workspaces.map(toWorkspaceSpec),
    limits: {
      answerRetentionMs: text.limits.answerRetention,
      maxPromptTokens: text.limits.maxPrompt,
      maxOutputTokens: text.limits.maxOutput,
      maxBodyBytes: text.limits.maxBody,
      drainMs: text.limits.drain,
    },
  };
}

function toServiceSpec(service: ValidatedService): ServiceSpec {
  return {
    name: service.name,
    kind: service.kind,
    dependsOn: service.dependsOn,
    models: (service.models ?? []).map(({ size, ...model }) => ({ ...model, sizeMb: size })),
    calls: (service.calls ?? []).map(({ path, repeatable }) => ({ pathPrefix: path, repeatable })),
    targets: service.targets.map((target) => toTargetSpec(service, target)),
    goals: {
      firstTokenMs: service.goals.firstToken,
      interTokenMs: service.goals.interToken,
    },
    floorTargets: service.floor ?? defaultFloor(countServingTargets(service)),
    rolesMayChange: service.kind === TargetKind.ModelEngine && service.rolesMayChange !== false,
    priority: service.priority,
    deadlineMs: service.deadline,
    retryBudgetRatio: service.retryBudget,
  };
}

function toTargetSpec(
  service: ValidatedService,
  target: ValidatedService['targets'][number],
): TargetSpec {
  return { ...target, checksFencing: target.checksFencing ?? service.checksFencing ?? false };
}

function toWorkspaceSpec(workspace: ValidatedWorkspace): WorkspaceSpec {
  return {
    name: workspace.name,
    share: workspace.share,
    apiKeySha256: workspace.apiKeySha256,
    maxTokensPerS: workspace.maxTokens ?? null,
  };
}
