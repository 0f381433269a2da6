/**
 * The configuration as members hold it and pass it on: the compiled document without the operators'
 * text, which only the command line needs, and patches between versions, since a whole document at
 * 730 targets for each of 650 edits a day would cost a member half of its control budget.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Failure } from '../failures/failure.js';
import type { Hash32 } from '../hashing/hashing.js';
import type {
  Configuration,
  ConfigurationDocument,
  LimitsSpec,
  ServiceSpec,
  TargetSpec,
  WorkspaceSpec,
} from '../model/configuration.js';
import { patchMismatch } from './failures.js';

/** What a member acts on. */
export type MemberConfiguration = Omit<ConfigurationDocument, 'text'>;

/** A list of named things as a patch: the order of names, and the things that changed. */
interface NamedPatch<Thing> {
  /** All names in order; null when names and order are unchanged. */
  readonly names: readonly string[] | null;
  readonly changed: readonly Thing[];
}

/** A service without its targets, which are patched one by one. */
type ServiceHead = Omit<ServiceSpec, 'targets'>;

/** What leads from one version to a later one. */
export interface ConfigurationPatch {
  readonly fromVersion: number;
  readonly version: number;
  readonly editId: string;
  readonly editedAtMs: number;
  readonly editedBy: string;
  readonly services: NamedPatch<ServiceHead>;
  /** Patches of targets by service; services without a change are absent. */
  readonly targets: Readonly<Record<string, NamedPatch<TargetSpec>>>;
  readonly workspaces: NamedPatch<WorkspaceSpec>;
  /** Null when unchanged. */
  readonly limits: LimitsSpec | null;
  /** Hash of the document that must come out. */
  readonly resultHash: number;
}

/** Drops the text. */
export function withoutText(document: ConfigurationDocument): MemberConfiguration {
  const { version, editId, compiled, editedAtMs, editedBy } = document;
  return { version, editId, compiled, editedAtMs, editedBy };
}

/** Fingerprint of what a document makes a process do; the order of fields does not matter. */
export function configurationHash(compiled: Configuration, hash32: Hash32): number {
  return hash32(JSON.stringify(compiled, sortFields));
}

function sortFields(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(Object.entries(value).sort(([one], [other]) => (one < other ? -1 : 1)));
}

function diffNamed<Thing extends { readonly name: string }>(
  before: readonly Thing[],
  after: readonly Thing[],
): NamedPatch<Thing> {
  const known = new Map(before.map((thing) => [thing.name, JSON.stringify(thing)]));
  const changed = after.filter((thing) => known.get(thing.name) !== JSON.stringify(thing));
  const sameNames =
    before.length === after.length &&
    after.every((thing, index) => before[index]?.name === thing.name);
  return { names: sameNames ? null : after.map((thing) => thing.name), changed };
}

function applyNamed<Thing extends { readonly name: string }>(
  before: readonly Thing[],
  patch: NamedPatch<Thing>,
): Thing[] {
  const things = new Map(before.map((thing) => [thing.name, thing]));
  for (const thing of patch.changed) things.set(thing.name, thing);
  const names = patch.names ?? before.map((thing) => thing.name);
  return names.flatMap((name) => things.get(name) ?? []);
}

function headOf(service: ServiceSpec): ServiceHead {
  return Object.fromEntries(
    Object.entries(service).filter(([field]) => field !== 'targets'),
  ) as unknown as ServiceHead;
}

function targetPatches(
  before: Configuration,
  after: Configuration,
): Record<string, NamedPatch<TargetSpec>> {
  const patches: Record<string, NamedPatch<TargetSpec>> = {};
  for (const service of after.services) {
    const known = before.services.find((other) => other.name === service.name);
    const patch = diffNamed(known?.targets ?? [], service.targets);
    if (patch.names !== null || patch.changed.length > 0) patches[service.name] = patch;
  }
  return patches;
}

/** The patch from one document to a later one. */
export function diffConfigurations(
  before: MemberConfiguration,
  after: MemberConfiguration,
  hash32: Hash32,
): ConfigurationPatch {
  const sameLimits =
    JSON.stringify(before.compiled.limits) === JSON.stringify(after.compiled.limits);
  return {
    fromVersion: before.version,
    version: after.version,
    editId: after.editId,
    editedAtMs: after.editedAtMs,
    editedBy: after.editedBy,
    services: diffNamed(before.compiled.services.map(headOf), after.compiled.services.map(headOf)),
    targets: targetPatches(before.compiled, after.compiled),
    workspaces: diffNamed(before.compiled.workspaces, after.compiled.workspaces),
    limits: sameLimits ? null : after.compiled.limits,
    resultHash: configurationHash(after.compiled, hash32),
  };
}

function patchedService(
  before: Configuration,
  head: ServiceHead,
  patch: ConfigurationPatch,
): ServiceSpec {
  const known = before.services.find((service) => service.name === head.name);
  const targets = known?.targets ?? [];
  const targetPatch = patch.targets[head.name];
  const patched = targetPatch === undefined ? targets : applyNamed(targets, targetPatch);
  return { ...head, targets: [...patched] };
}

/** Applies a patch. Errors: `configuration-patch-mismatch` when it does not fit. */
export function applyPatch(
  before: MemberConfiguration,
  patch: ConfigurationPatch,
  hash32: Hash32,
): Result<MemberConfiguration, Failure> {
  const mismatch = patchMismatch.of({ fromVersion: patch.fromVersion, toVersion: patch.version });
  if (before.version !== patch.fromVersion) return err(mismatch);
  const heads = applyNamed(before.compiled.services.map(headOf), patch.services);
  const compiled: Configuration = {
    services: heads.map((head) => patchedService(before.compiled, head, patch)),
    workspaces: applyNamed(before.compiled.workspaces, patch.workspaces),
    limits: patch.limits ?? before.compiled.limits,
  };
  if (configurationHash(compiled, hash32) !== patch.resultHash) return err(mismatch);
  const { version, editId, editedAtMs, editedBy } = patch;
  return ok({ version, editId, compiled, editedAtMs, editedBy });
}
