/**
 * Brings a fresh clone to a built tree: installs the locked packages when they are missing or
 * older than the lock file, then compiles what changed. Safe to run before every command.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const INSTALLED_MARK = join(ROOT, 'node_modules', '.package-lock.json');
const LOCK_FILE = join(ROOT, 'package-lock.json');

function run(command, args) {
  const result = spawnSync(command, args, { cwd: ROOT, stdio: ['ignore', 'inherit', 'inherit'] });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

function needsInstall() {
  if (!existsSync(INSTALLED_MARK)) return true;
  return statSync(LOCK_FILE).mtimeMs > statSync(INSTALLED_MARK).mtimeMs + 1000;
}

if (needsInstall()) run('npm', ['ci', '--no-audit', '--no-fund', '--prefer-offline']);
run(process.execPath, [join(ROOT, 'node_modules', 'typescript', 'bin', 'tsc'), '-b']);
