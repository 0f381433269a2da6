/**
 * What every command shares: flags for the connection, failures turned into lines or JSON and an
 * exit code, and clients that are closed at the end.
 */
import { readFile, writeFile } from 'node:fs/promises';
import { Command, Flags, ux } from '@oclif/core';
import { FailureError, type Failure } from '@cassiamast/coordination';
import { createKeyValueClient, type KeyValueClient } from '@cassiamast/ports';
import type { Result } from 'neverthrow';
import {
  requireEntries,
  requireKeyValue,
  resolveConnection,
  type Connection,
  type ConnectionFlags,
} from '../connection/connection.js';
import type { Entries } from '../fleet/gather.js';
import { createMemberClient, type AskMember } from '../fleet/member-client.js';
import { failureLines } from '../output/faults.js';
import { exitCodeOf, ExitCode } from './exit-code.js';
import { FILE_UNREADABLE } from './failures.js';

const connectionFlag = Flags.string({ description: 'YAML file with keyValue, entry, secretFile' });

/** Flags of commands that talk to the key-value service. */
export const KEY_VALUE_FLAGS = {
  connection: connectionFlag,
  'key-value': Flags.string({ description: 'URL of the key-value service', multiple: true }),
};

/** Flags of commands that ask the processes. */
export const ENTRY_FLAGS = {
  connection: connectionFlag,
  entry: Flags.string({
    description: 'control address HOST:PORT of an entry; name several in case one is down',
    multiple: true,
  }),
  'secret-file': Flags.string({ description: 'file with the members’ secret' }),
};

/** The flags that say where to connect, as oclif parses them. */
export interface ParsedConnectionFlags {
  readonly connection?: string | undefined;
  readonly 'key-value'?: readonly string[] | undefined;
  readonly entry?: readonly string[] | undefined;
  readonly 'secret-file'?: string | undefined;
}

/** Takes the value, or ends the command with the failure. */
export function must<Value>(result: Result<Value, Failure>): Value {
  if (result.isOk()) return result.value;
  throw new FailureError(result.error);
}

/** The base of all commands. */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true;

  readonly #closers: (() => Promise<void>)[] = [];

  /** Opens the key-value service named by flags, environment or file. */
  protected async openKeyValue(flags: ParsedConnectionFlags): Promise<KeyValueClient> {
    const endpoints = must(requireKeyValue(await this.#connection(flags)));
    const client = createKeyValueClient({ endpoints });
    this.#closers.push(client.close);
    return client;
  }

  /** Opens the way to the processes; the first entry that answers gives the members. */
  protected async openFleet(
    flags: ParsedConnectionFlags,
  ): Promise<{ readonly ask: AskMember; readonly entries: Entries }> {
    const connection = await this.#connection(flags);
    const entries = must(requireEntries(connection));
    const { ask, close } = createMemberClient(connection.secret);
    this.#closers.push(close);
    return { ask, entries };
  }

  /** Reads a text file, or ends the command. */
  protected async readText(file: string): Promise<string> {
    try {
      return await readFile(file, 'utf8');
    } catch (error) {
      throw new FailureError(FILE_UNREADABLE.of({ file, cause: (error as Error).message }));
    }
  }

  /** Writes what was asked for into a file, or ends the command. */
  protected async writeText(file: string, content: string): Promise<void> {
    try {
      await writeFile(file, content);
    } catch (error) {
      throw new FailureError(FILE_UNREADABLE.of({ file, cause: (error as Error).message }));
    }
    this.log(`Written to ${file}.`);
  }

  /** Shows on stderr how far something long has come. */
  protected progress(what: string): (done: number, total: number) => void {
    if (this.jsonEnabled() || !process.stderr.isTTY) return () => undefined;
    ux.action.start(what);
    return (done, total) => {
      ux.action.status = `${String(done)} of ${String(total)}`;
      if (done >= total) ux.action.stop();
    };
  }

  /** Ends with a code other than 0 though there is something to show. */
  protected endWith(code: ExitCode): void {
    process.exitCode = code;
  }

  protected override catch(error: Error & { exitCode?: number }): Promise<unknown> {
    if (!(error instanceof FailureError)) return super.catch(error);
    process.exitCode = exitCodeOf(error.failure);
    if (this.jsonEnabled()) this.logJson({ error: error.failure });
    else for (const line of failureLines(error.failure)) this.logToStderr(line);
    return Promise.resolve();
  }

  protected override async finally(error: Error | undefined): Promise<void> {
    await Promise.all(this.#closers.map((close) => close()));
    await super.finally(error);
  }

  async #connection(flags: ParsedConnectionFlags): Promise<Connection> {
    const named: ConnectionFlags = {
      connection: flags.connection,
      keyValue: flags['key-value'],
      entry: flags.entry,
      secretFile: flags['secret-file'],
    };
    return must(await resolveConnection(named, process.env));
  }
}
