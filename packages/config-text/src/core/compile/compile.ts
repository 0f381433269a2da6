/**
 * Compiles the operators' text to the configuration that every process acts on, or reports every
 * fault at once, in the order of the text.
 */
import {
  TargetKind,
  type Configuration,
  type ServiceSpec,
  type TargetSpec,
  type WorkspaceSpec,
} from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import type { TextFault, UnplacedFault } from '../faults/fault.js';
import { DOCUMENT_TOO_LARGE, MORE_FAULTS } from '../faults/failures.js';
import { placeFault, type PlacedDocument } from '../faults/place.js';
import { structureFaults } from '../faults/structure.js';
import { nameFaults } from '../names/names.js';
import { defaultFloor, serviceFaults } from '../names/service-rules.js';
import {
  serviceSchema,
  textSchema,
  type ReadService,
  type ReadText,
  type ReadWorkspace,
} from '../schema/schema.js';
import { ENVELOPE_BYTES, MAX_DOCUMENT_BYTES, MAX_FAULTS } from './limits.js';
import { parseText } from './parse.js';

/**
 * Checks and compiles a text. Never throws, and changes nothing.
 *
 * @returns the configuration, or at most {@link MAX_FAULTS} faults in the order of the text.
 */
export function compileText(text: string): Result<Configuration, readonly TextFault[]> {
  return parseText(text)
    .andThen((parsed) => checkParsed(parsed, parsed.raw))
    .andThen((configuration) => checkDocumentSize(text, configuration))
    .mapErr(inTextOrder);
}

function checkParsed(
  placed: PlacedDocument,
  raw: unknown,
): Result<Configuration, readonly TextFault[]> {
  const read = textSchema.safeParse(raw);
  const structural = read.success
    ? []
    : read.error.issues.flatMap((issue) => structureFaults(raw, issue));
  const faults = [...structural, ...nameFaults(raw), ...rulesOfServices(raw)];
  if (read.success && faults.length === 0) return ok(configurationOf(read.data));
  return err(faults.map(({ failure, path, atKey }) => placeFault(placed, failure, path, atKey)));
}

/** Checks each service that is well-formed by itself, also where others are not. */
function rulesOfServices(raw: unknown): UnplacedFault[] {
  const services: unknown = (raw as { services?: unknown } | null)?.services;
  if (!Array.isArray(services)) return [];
  return services.flatMap((service: unknown, index) => {
    const read = serviceSchema.safeParse(service);
    return read.success ? serviceFaults(read.data, index) : [];
  });
}

function checkDocumentSize(
  text: string,
  configuration: Configuration,
): Result<Configuration, readonly TextFault[]> {
  const stored = JSON.stringify({ text, compiled: configuration });
  const sizeBytes = Buffer.byteLength(stored, 'utf8') + ENVELOPE_BYTES;
  if (sizeBytes <= MAX_DOCUMENT_BYTES) return ok(configuration);
  const failure = DOCUMENT_TOO_LARGE.of({ sizeBytes, maxBytes: MAX_DOCUMENT_BYTES });
  return err([{ ...failure, line: 1, column: 1, path: '' }]);
}

function inTextOrder(faults: readonly TextFault[]): readonly TextFault[] {
  const ordered = [...faults].sort((a, b) => a.line - b.line || a.column - b.column);
  if (ordered.length <= MAX_FAULTS) return ordered;
  const listed = ordered.slice(0, MAX_FAULTS - 1);
  const place = { line: 1, column: 1, ...listed.at(-1), path: '' };
  const more = MORE_FAULTS.of({ omitted: ordered.length - listed.length });
  return [...listed, { ...more, line: place.line, column: place.column, path: '' }];
}

function configurationOf(text: ReadText): Configuration {
  return {
    services: text.services.map(serviceOf),
    workspaces: text.workspaces.map(workspaceOf),
    limits: {
      answerRetentionMs: text.limits.answerRetention,
      maxPromptTokens: text.limits.maxPrompt,
      maxOutputTokens: text.limits.maxOutput,
      maxBodyBytes: text.limits.maxBody,
      drainMs: text.limits.drain,
    },
  };
}

function serviceOf(service: ReadService): ServiceSpec {
  return {
    name: service.name,
    kind: service.kind,
    dependsOn: service.dependsOn,
    models: (service.models ?? []).map(({ size, ...model }) => ({ ...model, sizeMb: size })),
    calls: (service.calls ?? []).map(({ path, repeatable }) => ({ pathPrefix: path, repeatable })),
    targets: service.targets.map((target) => targetOf(service, target)),
    goals: {
      firstTokenMs: service.goals.firstToken,
      interTokenMs: service.goals.interToken,
    },
    floorTargets: service.floor ?? defaultFloor(service),
    rolesMayChange: service.kind === TargetKind.ModelEngine && service.rolesMayChange !== false,
    priority: service.priority,
    deadlineMs: service.deadline,
    retryBudgetRatio: service.retryBudget,
  };
}

function targetOf(service: ReadService, target: ReadService['targets'][number]): TargetSpec {
  return { ...target, checksFencing: target.checksFencing ?? service.checksFencing ?? false };
}

function workspaceOf(workspace: ReadWorkspace): WorkspaceSpec {
  return {
    name: workspace.name,
    share: workspace.share,
    apiKeySha256: workspace.apiKeySha256,
    maxTokensPerS: workspace.maxTokens ?? null,
  };
}
