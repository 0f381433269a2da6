/**
 * Resolves the addresses of the key-value service and the entries, and the members' secret. Flags
 * take precedence over environment variables, and these over the connection file. The secret is
 * read only from a file or the environment, which keeps it out of process lists and shell history.
 */
import { readFile } from 'node:fs/promises';
import { type Failure } from '@cassiamast/coordination';
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'yaml';
import { FILE_UNREADABLE, NO_CONNECTION } from '../process/failures.js';

/** Connection flags of a command. */
export interface ConnectionFlags {
  readonly connection?: string | undefined;
  readonly keyValue?: readonly string[] | undefined;
  readonly entry?: readonly string[] | undefined;
  readonly secretFile?: string | undefined;
}

/** Environment variables, by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** The resolved connection settings; a setting that is not given is empty. */
export interface Connection {
  readonly keyValueEndpoints: readonly string[];
  /** Entries to ask for the member list, tried in order until one responds. */
  readonly entries: readonly string[];
  readonly secret: string;
}

/** Names of the environment variables. */
export enum ConnectionVariable {
  File = 'CASSIAMAST_CONNECTION',
  KeyValue = 'CASSIAMAST_KEY_VALUE',
  Entry = 'CASSIAMAST_ENTRY',
  Secret = 'CASSIAMAST_SECRET',
  SecretFile = 'CASSIAMAST_SECRET_FILE',
}

const FILE_FIELDS = ['keyValue', 'entry', 'secretFile'];

interface FileSettings {
  readonly keyValue: readonly string[];
  readonly entry: readonly string[];
  readonly secretFile: string;
}

const NO_FILE_SETTINGS: FileSettings = { keyValue: [], entry: [], secretFile: '' };

/** Resolves the connection from all sources. Errors: `file-unreadable`, `no-connection`. */
export async function resolveConnection(
  flags: ConnectionFlags,
  environment: Environment,
): Promise<Result<Connection, Failure>> {
  const path = flags.connection ?? environment[ConnectionVariable.File];
  const file = path === undefined ? ok(NO_FILE_SETTINGS) : await readSettings(path);
  if (file.isErr()) return err(file.error);
  const fromEnvironment = environment[ConnectionVariable.KeyValue]?.split(',');
  const secret = await readSecret(flags, environment, file.value);
  return secret.map((text) => ({
    keyValueEndpoints: flags.keyValue ?? fromEnvironment ?? file.value.keyValue,
    entries: flags.entry ?? environment[ConnectionVariable.Entry]?.split(',') ?? file.value.entry,
    secret: text,
  }));
}

async function readText(file: string): Promise<Result<string, Failure>> {
  try {
    return ok(await readFile(file, 'utf8'));
  } catch (error) {
    return err(FILE_UNREADABLE.of({ file, cause: (error as Error).message }));
  }
}

async function readSettings(file: string): Promise<Result<FileSettings, Failure>> {
  const text = await readText(file);
  return text.andThen((content) => parseSettings(file, content));
}

function parseSettings(file: string, content: string): Result<FileSettings, Failure> {
  const faulty = (fault: string): Result<FileSettings, Failure> =>
    err(NO_CONNECTION.of({ fault: `${file}: ${fault}` }));
  let document: unknown;
  try {
    document = parse(content, { maxAliasCount: 0 });
  } catch (error) {
    return faulty((error as Error).message);
  }
  if (typeof document !== 'object' || document === null) return faulty('must be a YAML mapping');
  const unknown = Object.keys(document).find((field) => !FILE_FIELDS.includes(field));
  if (unknown !== undefined) {
    return faulty(`unknown field "${unknown}"; known are ${FILE_FIELDS.join(', ')}`);
  }
  const fields = document as Readonly<Record<string, unknown>>;
  const keyValue = typeof fields.keyValue === 'string' ? [fields.keyValue] : fields.keyValue;
  if (keyValue !== undefined && !isTextList(keyValue)) return faulty('keyValue must be URLs');
  const entry = typeof fields.entry === 'string' ? [fields.entry] : fields.entry;
  if (entry !== undefined && !isTextList(entry)) return faulty('entry must be addresses');
  return ok({
    keyValue: keyValue ?? [],
    entry: entry ?? [],
    secretFile: typeof fields.secretFile === 'string' ? fields.secretFile : '',
  });
}

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}

async function readSecret(
  flags: ConnectionFlags,
  environment: Environment,
  file: FileSettings,
): Promise<Result<string, Failure>> {
  const path = flags.secretFile ?? environment[ConnectionVariable.SecretFile];
  if (path !== undefined) return (await readText(path)).map((text) => text.trim());
  const secret = environment[ConnectionVariable.Secret];
  if (secret !== undefined) return ok(secret);
  if (file.secretFile === '') return ok('');
  return (await readText(file.secretFile)).map((text) => text.trim());
}

/** Returns the key-value endpoints. Errors: `no-connection` when there are none or one is malformed. */
export function requireKeyValue(connection: Connection): Result<readonly string[], Failure> {
  const endpoints = connection.keyValueEndpoints;
  if (endpoints.length === 0) {
    const fault = `The key-value service is not named: --key-value or ${ConnectionVariable.KeyValue}.`;
    return err(NO_CONNECTION.of({ fault }));
  }
  const wrong = endpoints.find((endpoint) => !URL.canParse(endpoint));
  if (wrong === undefined) return ok(endpoints);
  return err(NO_CONNECTION.of({ fault: `"${wrong}" is not a URL such as http://10.0.0.5:2379.` }));
}

/** Returns the entries' addresses. Errors: `no-connection` when there are none or one is malformed. */
export function requireEntries(
  connection: Connection,
): Result<readonly [string, ...string[]], Failure> {
  const [first, ...others] = connection.entries;
  if (first === undefined) {
    const fault = `No entry is named: --entry or ${ConnectionVariable.Entry}.`;
    return err(NO_CONNECTION.of({ fault }));
  }
  const wrong = connection.entries.find((entry) => !/^\S+:\d{1,5}$/.test(entry));
  if (wrong === undefined) return ok([first, ...others]);
  return err(NO_CONNECTION.of({ fault: `"${wrong}" is not an address such as 10.1.0.1:7000.` }));
}
