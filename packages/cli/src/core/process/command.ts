/**
 * Base class and shared flags of all commands. The base class opens the clients that a command
 * needs, closes them when the command ends, and reports failures as text or JSON with an exit code.
 */
import { readFile, writeFile } from 'node:fs/promises';
import { Command, Flags, ux } from '@oclif/core';
import { FailureError, type Configuration, type Failure } from '@cassiamast/coordination';
import { differenceText, type Difference } from '@cassiamast/config-text';
import { createKeyValueClient, type KeyValueClient } from '@cassiamast/ports';
import type { Result } from 'neverthrow';
import {
  requireEntries,
  requireKeyValue,
  resolveConnection,
  type Connection,
  type ConnectionFlags,
} from '../connection/connection.js';
import { compileFile } from '../configuration/compile-file.js';
import { readVersion } from '../configuration/read.js';
import type { Entries } from '../fleet/gather.js';
import { createMemberClient, type CallMember } from '../fleet/member-client.js';
import { failureLines } from '../output/faults.js';
import { exitCodeOf, ExitCode } from './exit-code.js';
import { FILE_UNREADABLE } from './failures.js';

const connectionFlag = Flags.string({ description: 'YAML file with keyValue, entry, secretFile' });

/** Flags of commands that use the key-value service. */
export const KEY_VALUE_FLAGS = {
  connection: connectionFlag,
  'key-value': Flags.string({ description: 'URL of the key-value service', multiple: true }),
};

/** Flags of commands that query the processes. */
export const ENTRY_FLAGS = {
  connection: connectionFlag,
  entry: Flags.string({
    description: 'control address HOST:PORT of an entry; name several in case one is down',
    multiple: true,
  }),
  'secret-file': Flags.string({ description: 'file with the members’ secret' }),
};

/** The connection flags as oclif parses them. */
export interface ParsedConnectionFlags {
  readonly connection?: string | undefined;
  readonly 'key-value'?: readonly string[] | undefined;
  readonly entry?: readonly string[] | undefined;
  readonly 'secret-file'?: string | undefined;
}

/** Flags that select the configuration a text is compared with. */
export interface BaselineFlags extends ParsedConnectionFlags {
  /** Another file; without it, the key-value service is read. */
  readonly against?: string | undefined;
  /** A version of the history; without it, the version in force. */
  readonly version?: number | undefined;
}

/** Returns the value of a result. Throws a `FailureError`, which ends the command, on failure. */
export function unwrapOrThrow<Value>(result: Result<Value, Failure>): Value {
  if (result.isOk()) return result.value;
  throw new FailureError(result.error);
}

/** Base class of all commands. */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true;

  readonly #closers: (() => Promise<void>)[] = [];

  /** Creates a client for the key-value service that flags, environment or file specify. */
  protected async openKeyValue(flags: ParsedConnectionFlags): Promise<KeyValueClient> {
    const endpoints = unwrapOrThrow(requireKeyValue(await this.#connection(flags)));
    const client = createKeyValueClient({ endpoints });
    this.#closers.push(client.close);
    return client;
  }

  /** Reads the configuration that a text is compared with. Throws a failure that ends the command. */
  protected async readBaseline(flags: BaselineFlags): Promise<Configuration> {
    const { against, version } = flags;
    if (against !== undefined)
      return unwrapOrThrow(compileFile(against, await this.readText(against)));
    const port = await this.openKeyValue(flags);
    return unwrapOrThrow(await readVersion(port, version ?? null)).compiled;
  }

  /** Prints the differences, one per line. */
  protected logDifferences(differences: readonly Difference[]): void {
    if (differences.length === 0) this.log('No differences.');
    for (const difference of differences) this.log(differenceText(difference));
  }

  /** Creates a client for the processes, and returns it with the entries that list the members. */
  protected async openFleet(
    flags: ParsedConnectionFlags,
  ): Promise<{ readonly callMember: CallMember; readonly entries: Entries }> {
    const connection = await this.#connection(flags);
    const entries = unwrapOrThrow(requireEntries(connection));
    const { callMember, close } = createMemberClient(connection.secret);
    this.#closers.push(close);
    return { callMember, entries };
  }

  /** Reads a text file. Throws `file-unreadable`, which ends the command. */
  protected async readText(file: string): Promise<string> {
    try {
      return await readFile(file, 'utf8');
    } catch (error) {
      throw new FailureError(FILE_UNREADABLE.of({ file, cause: (error as Error).message }));
    }
  }

  /** Writes the output of a command to a file. Throws `file-unreadable`, which ends the command. */
  protected async writeText(file: string, content: string): Promise<void> {
    try {
      await writeFile(file, content);
    } catch (error) {
      throw new FailureError(FILE_UNREADABLE.of({ file, cause: (error as Error).message }));
    }
    this.log(`Written to ${file}.`);
  }

  /** Returns a callback that shows the progress of a long operation on stderr. */
  protected progress(action: string): (done: number, total: number) => void {
    if (this.jsonEnabled() || !process.stderr.isTTY) return () => undefined;
    ux.action.start(action);
    return (done, total) => {
      ux.action.status = `${String(done)} of ${String(total)}`;
      if (done >= total) ux.action.stop();
    };
  }

  /** Sets an exit code other than 0 for a command that prints its output but is incomplete. */
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
    const connectionFlags: ConnectionFlags = {
      connection: flags.connection,
      keyValue: flags['key-value'],
      entry: flags.entry,
      secretFile: flags['secret-file'],
    };
    return unwrapOrThrow(await resolveConnection(connectionFlags, process.env));
  }
}
