/**
 * Where the shipped deployments and prompts lie, and writing a laid out deployment to files.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import type { DeploymentLayout } from './layout.js';

/** The examples' folder, from `dist/src/deployment`. */
const EXAMPLES = join(dirname(fileURLToPath(import.meta.url)), '..', '..', '..');

/** The repository's root. */
export const ROOT = join(EXAMPLES, '..');

/** Names of the shipped deployments. */
export enum DeploymentName {
  Kalahari = 'kalahari',
  Tengis = 'tengis',
}

/** The operators' text of a shipped deployment. */
export function readDeploymentText(name: DeploymentName): string {
  return readFileSync(join(EXAMPLES, 'deployments', `${name}.yaml`), 'utf8');
}

/** A file with prompts of a deployment. */
export function readPromptFile(name: DeploymentName, file: string): string {
  return readFileSync(join(EXAMPLES, 'prompts', name, file), 'utf8');
}

/** The path of a process's settings in a folder. */
export function settingsPath(folder: string, processName: string): string {
  return join(folder, `${processName}.yaml`);
}

/** Writes the text and every process's settings. */
export function writeLayout(layout: DeploymentLayout, folder: string): void {
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, 'configuration.yaml'), layout.text);
  for (const process of layout.processes) {
    writeFileSync(settingsPath(folder, process.name), stringify(process.settings));
  }
}
