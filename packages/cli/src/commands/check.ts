/** `cassiamast check FILE`: reports every fault of a text without changing anything. */
import { Args } from '@oclif/core';
import { compileFile } from '../core/configuration/compile-file.js';
import { unwrapOrThrow, OperatorCommand } from '../core/process/command.js';

export default class Check extends OperatorCommand {
  static override description = 'Check a text and report every fault with line and column.';
  static override args = { file: Args.string({ required: true, description: 'the text' }) };

  async run(): Promise<object> {
    const { args } = await this.parse(Check);
    const text = await this.readText(args.file);
    const { services, workspaces } = unwrapOrThrow(compileFile(args.file, text));
    const targets = services.reduce((count, service) => count + service.targets.length, 0);
    const counts = { services: services.length, targets, workspaces: workspaces.length };
    this.log(
      `${args.file} is correct: ${String(counts.services)} services, ${String(targets)} targets, ${String(counts.workspaces)} workspaces.`,
    );
    return { correct: true, ...counts };
  }
}
