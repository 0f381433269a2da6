/**
 * `cassiamast check FILE`: reports every fault and warning of a text, and optionally what it would
 * change, without changing anything.
 */
import { Args, Flags } from '@oclif/core';
import { diffConfigurations, type TextFinding } from '@cassiamast/config-text';
import { reviewFile } from '../core/configuration/compile-file.js';
import { warningLines } from '../core/output/faults.js';
import { KEY_VALUE_FLAGS, unwrapOrThrow, OperatorCommand } from '../core/process/command.js';
import { ExitCode } from '../core/process/exit-code.js';

export default class Check extends OperatorCommand {
  static override description =
    'Check a text and report every fault and warning with line and column.';
  static override args = { file: Args.string({ required: true, description: 'the text' }) };
  static override flags = {
    ...KEY_VALUE_FLAGS,
    against: Flags.string({
      description: 'show what the text changes compared with another file',
      exclusive: ['in-force'],
    }),
    'in-force': Flags.boolean({
      description: 'show what the text changes compared with the version in force',
    }),
  };

  async run(): Promise<object> {
    const { args, flags } = await this.parse(Check);
    const text = await this.readText(args.file);
    const { configuration, findings } = unwrapOrThrow(reviewFile(args.file, text));
    const isCompared = flags.against !== undefined || flags['in-force'];
    const before = isCompared ? await this.readBaseline(flags) : null;
    const { services, workspaces } = configuration;
    const targets = services.reduce((count, service) => count + service.targets.length, 0);
    const counts = { services: services.length, targets, workspaces: workspaces.length };
    this.log(
      `${args.file} is correct: ${String(counts.services)} services, ${String(targets)} targets, ${String(counts.workspaces)} workspaces.`,
    );
    this.#reportWarnings(args.file, findings);
    const differences = before === null ? null : diffConfigurations(before, configuration);
    if (differences !== null) this.logDifferences(differences);
    return {
      correct: true,
      ...counts,
      ...(findings.length > 0 && { warnings: findings }),
      ...(differences !== null && { differences }),
    };
  }

  #reportWarnings(file: string, findings: readonly TextFinding[]): void {
    if (findings.length === 0) return;
    for (const finding of findings) {
      for (const line of warningLines(file, finding)) this.logToStderr(line);
    }
    this.endWith(ExitCode.Warnings);
  }
}
