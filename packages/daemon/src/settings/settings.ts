/**
 * Reads and validates the daemon's settings: the identity of the process, its listen addresses and
 * the addresses of the platform's services. Services and targets are not set here but in the
 * operators' configuration text. Secrets come from a file or the environment and are never logged.
 */
import { readFile } from 'node:fs/promises';
import type { Failure } from '@cassiamast/coordination';
import { MemberKind } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'yaml';
// Uses the v3 API, which the zod package still includes: it needs a tenth of the memory of the v4
// API, and the process has 32 MB in total.
import { z } from 'zod/v3';
import { SETTINGS_INVALID, SETTINGS_UNREADABLE } from './failures.js';

/**
 * Environment variable with the members' shared secret, read when the settings name no secret file.
 */
export const SECRET_VARIABLE = 'CASSIAMAST_SECRET';

const MAX_PORT = 65_535;
const MIN_SECRET_CHARACTERS = 16;

/** Creates an object schema that rejects unknown fields, so that a misspelt field is reported. */
function strict<Shape extends z.ZodRawShape>(shape: Shape): z.ZodObject<Shape, 'strict'> {
  return z.object(shape).strict();
}

const hostPort = z
  .string()
  .regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port')
  .describe('host:port');
const listenAddress = strict({
  host: z.string().min(1),
  port: z.number().int().min(1).max(MAX_PORT),
});
const networks = z.array(z.string().regex(/^[0-9a-fA-F.:]+\/\d{1,3}$/, 'must be a CIDR network'));

const commonFields = {
  /**
   * Address where members reach this process over TCP and UDP. It is also the member id, and
   * binding it ensures that only one process runs with this id.
   */
  control: listenAddress,
  /**
   * Networks that may use the control port; other connections are rejected before any byte is read.
   */
  controlNetworks: networks.default(['127.0.0.0/8']),
  failureDomain: z.string().min(1),
  /** Addresses of a few members, any of which the process can join through. */
  peers: z.array(hostPort).default([]),
  keyValue: strict({ endpoints: z.array(z.string().url()).min(1) }),
  vmList: strict({ url: z.string().url() }).optional(),
  weightStore: strict({ url: z.string().url() }).optional(),
  /** File with the members' shared secret; by default it comes from CASSIAMAST_SECRET. */
  secretFile: z.string().optional(),
  logLevel: z.enum(['silent', 'error', 'warn', 'info', 'debug']).default('info'),
  /** Memory of the process in MiB; its clients may hold a part of it. */
  memoryMb: z.number().min(32).default(350),
  /** Maximum number of descriptors of the process; its clients may use a part of them. */
  maxFds: z.number().int().min(400).default(65_536),
  /** How long a stopping process still accepts work that is in transit to it. */
  noticeMs: z.number().int().min(0).max(60_000).default(3_000),
  /** Number of events that the time line keeps. */
  timelineEvents: z.number().int().min(100).max(100_000).default(4_000),
};

const entrySettings = strict({
  kind: z.literal(MemberKind.Entry),
  ...commonFields,
  /** Address where callers connect. */
  callers: listenAddress,
  /** Maximum number of open connections from callers. */
  maxCallerConnections: z.number().int().min(1).default(20_000),
});

const sidecarSettings = strict({
  kind: z.literal(MemberKind.Sidecar),
  ...commonFields,
  /**
   * Name of the target that this process serves, as written in the operators' configuration text.
   */
  target: z.string().min(1),
});

const settingsSchema = z.discriminatedUnion('kind', [entrySettings, sidecarSettings]);

/** Settings of an entry, without the secret. */
export type EntrySettings = z.infer<typeof entrySettings>;
/** Settings of a sidecar, without the secret. */
export type SidecarSettings = z.infer<typeof sidecarSettings>;
/** Settings of either kind. */
export type Settings = EntrySettings | SidecarSettings;

/** Settings together with the shared secret with which members authenticate to each other. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly secret: string;
}

/** Validates a parsed settings document; the failure lists every fault. */
export function checkSettings(file: string, document: unknown): Result<Settings, Failure> {
  const parsed = settingsSchema.safeParse(document);
  if (parsed.success) return ok(parsed.data);
  const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  return err(SETTINGS_INVALID.of({ file, faults }));
}

/**
 * Reads the settings file and the secret; `environment` holds the environment variables of the
 * process.
 */
export async function loadSettings(
  file: string,
  environment: Readonly<Record<string, string | undefined>>,
): Promise<Result<LoadedSettings, Failure>> {
  const document = await readYaml(file);
  if (document.isErr()) return err(document.error);
  const checked = checkSettings(file, document.value);
  if (checked.isErr()) return err(checked.error);
  const secret = await readSecret(checked.value.secretFile, environment);
  return secret.andThen((text) =>
    text.length < MIN_SECRET_CHARACTERS
      ? err(SETTINGS_INVALID.of({ file, faults: [secretFault()] }))
      : ok({ settings: checked.value, secret: text }),
  );
}

function secretFault(): string {
  return `secret: needs at least ${String(MIN_SECRET_CHARACTERS)} characters, in secretFile or ${SECRET_VARIABLE}`;
}

async function readYaml(file: string): Promise<Result<unknown, Failure>> {
  try {
    return ok(parse(await readFile(file, 'utf8')) as unknown);
  } catch (error) {
    return err(SETTINGS_UNREADABLE.of({ file, cause: (error as Error).message }));
  }
}

async function readSecret(
  file: string | undefined,
  environment: Readonly<Record<string, string | undefined>>,
): Promise<Result<string, Failure>> {
  if (file === undefined) return ok(environment[SECRET_VARIABLE] ?? '');
  try {
    return ok((await readFile(file, 'utf8')).trim());
  } catch (error) {
    return err(SETTINGS_UNREADABLE.of({ file, cause: (error as Error).message }));
  }
}
