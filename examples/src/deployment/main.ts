/**
 * Writes a shipped deployment out for this machine and prints the command that starts each of its
 * processes: `main.js kalahari|tengis [--base-port 21000] [--out FOLDER]`.
 */
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { DeploymentName, readDeploymentText, settingsPath, writeLayout } from './files.js';
import type { ProcessLayout } from './layout.js';
import { layOutDeployment, ProcessKind } from './layout.js';

const DEFAULT_BASE_PORT = '21000';
const USAGE_EXIT_CODE = 2;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    'base-port': { type: 'string', default: DEFAULT_BASE_PORT },
    out: { type: 'string' },
  },
});
const name = Object.values(DeploymentName).find((known) => known === positionals[0]);
if (name === undefined) {
  console.error('Usage: main.js kalahari|tengis [--base-port N] [--out FOLDER]');
  process.exit(USAGE_EXIT_CODE);
}
const folder = values.out ?? join('reports', 'running', name);
const layout = layOutDeployment(readDeploymentText(name), Number(values['base-port']));
writeLayout(layout, folder);

const commands = (isMeant: (one: ProcessLayout) => boolean): string[] =>
  layout.processes.filter(isMeant).map(startCommand);

console.log('# 1. the outside systems');
console.log(commands((one) => one.kind === ProcessKind.StandIns).join('\n'));
console.log('# 2. the text');
console.log(
  `node packages/cli/bin/run.js apply ${settingsPath(folder, 'configuration')} ` +
    `--from-version 0 --key-value ${layout.keyValueUrl}`,
);
console.log('# 3. the daemons');
console.log(commands((one) => one.kind !== ProcessKind.StandIns).join('\n'));
console.log(`# callers connect to ${layout.callerUrls.join(' ')}`);

function startCommand(one: ProcessLayout): string {
  const settings = settingsPath(folder, one.name);
  return one.kind === ProcessKind.StandIns
    ? `node packages/stand-ins/dist/src/main.js several --settings ${settings} &`
    : `node packages/daemon/dist/src/main.js --settings ${settings} &`;
}
