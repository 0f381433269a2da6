/**
 * The daemon's settings: who this process is, where it listens, and where the platform's services
 * are. Everything about services and targets comes from the operators' text instead. Secrets come
 * from a file or the environment and are never logged.
 */
import { readFile } from 'node:fs/promises';
import type { Failure } from '@cassiamast/coordination';
import { MemberKind } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'yaml';
// The third version of zod's interface, which the package still brings: a tenth of the memory of the
// fourth, in a process that has 32 MB to itself.
import { z } from 'zod/v3';
import { SETTINGS_INVALID, SETTINGS_UNREADABLE } from './failures.js';

/** Environment variable that carries the members' shared secret when no file is named. */
export const SECRET_VARIABLE = 'CASSIAMAST_SECRET';

const MAX_PORT = 65_535;
const MIN_SECRET_CHARACTERS = 16;

/** An object without unknown fields, so that a misspelt one is a fault. */
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
  /** Where members reach this process, TCP and UDP; also its identity and its exclusive lock. */
  control: listenAddress,
  /** Networks that may use the control port; all others are refused before a byte is read. */
  controlNetworks: networks.default(['127.0.0.0/8']),
  failureDomain: z.string().min(1),
  /** Any few members, to join through. */
  peers: z.array(hostPort).default([]),
  keyValue: strict({ endpoints: z.array(z.string().url()).min(1) }),
  vmList: strict({ url: z.string().url() }).optional(),
  weightStore: strict({ url: z.string().url() }).optional(),
  /** File with the members' shared secret; else the environment variable CASSIAMAST_SECRET. */
  secretFile: z.string().optional(),
  logLevel: z.enum(['silent', 'error', 'warn', 'info', 'debug']).default('info'),
  /** How long a process that stops still takes what is on its way to it. */
  noticeMs: z.number().int().min(0).max(60_000).default(3_000),
  /** How many events the time line keeps. */
  timelineEvents: z.number().int().min(100).max(100_000).default(4_000),
};

const entrySettings = strict({
  kind: z.literal(MemberKind.Entry),
  ...commonFields,
  /** Where callers connect. */
  callers: listenAddress,
  /** The most callers' connections held open at once. */
  maxCallerConnections: z.number().int().min(1).default(20_000),
});

const sidecarSettings = strict({
  kind: z.literal(MemberKind.Sidecar),
  ...commonFields,
  /** Name of the target in the operators' text that this process stands beside. */
  target: z.string().min(1),
});

const settingsSchema = z.discriminatedUnion('kind', [entrySettings, sidecarSettings]);

/** Settings of an entry, without the secret. */
export type EntrySettings = z.infer<typeof entrySettings>;
/** Settings of a sidecar, without the secret. */
export type SidecarSettings = z.infer<typeof sidecarSettings>;
/** Settings of either kind. */
export type Settings = EntrySettings | SidecarSettings;

/** Settings together with the secret that members prove to each other. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly secret: string;
}

/** Checks a parsed settings document; reports every fault at once. */
export function checkSettings(file: string, document: unknown): Result<Settings, Failure> {
  const parsed = settingsSchema.safeParse(document);
  if (parsed.success) return ok(parsed.data);
  const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  return err(SETTINGS_INVALID.of({ file, faults }));
}

/** Reads settings and secret; `environment` is the process's own. */
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
