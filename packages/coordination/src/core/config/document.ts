/**
 * Defines the configuration as members store and exchange it: the compiled document without the
 * operators' text, which only the command line needs, and patches between versions. Sending the
 * whole document of 730 targets for each of 650 edits a day would use half of a member's budget for
 * control traffic.
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

/** The part of a configuration document that members act on. */
export type MemberConfiguration = Omit<ConfigurationDocument, 'text'>;

/** A patch of a list of named items: the order of the names, and the items that changed. */
interface NamedPatch<Item> {
  /** All names in order; null when names and order are unchanged. */
  readonly names: readonly string[] | null;
  readonly changed: readonly Item[];
}

/** A service without its targets, which are patched individually. */
type ServiceHead = Omit<ServiceSpec, 'targets'>;

/** The changes from one version of the configuration to a later one. */
export interface ConfigurationPatch {
  readonly fromVersion: number;
  readonly version: number;
  readonly editId: string;
  readonly editedAtMs: number;
  readonly editedBy: string;
  readonly services: NamedPatch<ServiceHead>;
  /** Patches of the targets by service name; services without changed targets are absent. */
  readonly targets: Readonly<Record<string, NamedPatch<TargetSpec>>>;
  readonly workspaces: NamedPatch<WorkspaceSpec>;
  /** Null when unchanged. */
  readonly limits: LimitsSpec | null;
  /** Hash of the configuration that applying the patch must produce. */
  readonly resultHash: number;
}

/** Returns the document without the operators' text. */
export function withoutText(document: ConfigurationDocument): MemberConfiguration {
  const { version, editId, compiled, editedAtMs, editedBy } = document;
  return { version, editId, compiled, editedAtMs, editedBy };
}

/** Returns a hash of the compiled configuration that does not depend on the order of fields. */
export function configurationHash(compiled: Configuration, hash32: Hash32): number {
  return hash32(JSON.stringify(compiled, sortFields));
}

function sortFields(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(Object.entries(value).sort(([one], [other]) => (one < other ? -1 : 1)));
}

function diffNamed<Item extends { readonly name: string }>(
  before: readonly Item[],
  after: readonly Item[],
): NamedPatch<Item> {
  const serializedItems = new Map(before.map((item) => [item.name, JSON.stringify(item)]));
  const changed = after.filter((item) => serializedItems.get(item.name) !== JSON.stringify(item));
  const sameNames =
    before.length === after.length &&
    after.every((item, index) => before[index]?.name === item.name);
  return { names: sameNames ? null : after.map((item) => item.name), changed };
}

function applyNamed<Item extends { readonly name: string }>(
  before: readonly Item[],
  patch: NamedPatch<Item>,
): Item[] {
  const items = new Map(before.map((item) => [item.name, item]));
  for (const item of patch.changed) items.set(item.name, item);
  const names = patch.names ?? before.map((item) => item.name);
  return names.flatMap((name) => items.get(name) ?? []);
}

function withoutTargets(service: ServiceSpec): ServiceHead {
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
    const previous = before.services.find((other) => other.name === service.name);
    const patch = diffNamed(previous?.targets ?? [], service.targets);
    if (patch.names !== null || patch.changed.length > 0) patches[service.name] = patch;
  }
  return patches;
}

/** Returns the patch from one document to a later one. */
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
    services: diffNamed(
      before.compiled.services.map(withoutTargets),
      after.compiled.services.map(withoutTargets),
    ),
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
  const previous = before.services.find((service) => service.name === head.name);
  const targets = previous?.targets ?? [];
  const targetPatch = patch.targets[head.name];
  const patched = targetPatch === undefined ? targets : applyNamed(targets, targetPatch);
  return { ...head, targets: [...patched] };
}

/**
 * Applies a patch to a document. Errors: `configuration-patch-mismatch` when the patch starts from
 * another version or the result does not have the expected hash.
 */
export function applyPatch(
  before: MemberConfiguration,
  patch: ConfigurationPatch,
  hash32: Hash32,
): Result<MemberConfiguration, Failure> {
  const mismatch = patchMismatch.of({ fromVersion: patch.fromVersion, toVersion: patch.version });
  if (before.version !== patch.fromVersion) return err(mismatch);
  const services = applyNamed(before.compiled.services.map(withoutTargets), patch.services);
  const compiled: Configuration = {
    services: services.map((head) => patchedService(before.compiled, head, patch)),
    workspaces: applyNamed(before.compiled.workspaces, patch.workspaces),
    limits: patch.limits ?? before.compiled.limits,
  };
  if (configurationHash(compiled, hash32) !== patch.resultHash) return err(mismatch);
  const { version, editId, editedAtMs, editedBy } = patch;
  return ok({ version, editId, compiled, editedAtMs, editedBy });
}
