/**
 * Runs every test of the repository: node:test over all compiled test files, then the Cucumber
 * features. Known failures are listed in KNOWN-RED.txt; CI passes over just these and prints them.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, statSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const TEST_ROOTS = ['packages', 'platform', 'benchmark', 'examples'];
const CUCUMBER = join(ROOT, 'node_modules', '@cucumber', 'cucumber', 'bin', 'cucumber.js');
const FEATURES = join(ROOT, 'packages', 'promises', 'features');

/** Source test files that still exist, as compiled paths: a leftover of a deleted test never runs. */
function compiledTests(folder) {
  const found = [];
  for (const name of readdirSync(folder)) {
    if (name === 'node_modules' || name === 'dist') continue;
    const path = join(folder, name);
    if (statSync(path).isDirectory()) found.push(...compiledTests(path));
    else if (name.endsWith('.test.ts')) found.push(compiledPath(path));
  }
  return found;
}

function compiledPath(sourcePath) {
  const marker = sourcePath.lastIndexOf('/test/');
  return `${sourcePath.slice(0, marker)}/dist${sourcePath.slice(marker)}`.replace(/\.ts$/, '.js');
}

function run(args) {
  const result = spawnSync(process.execPath, args, {
    cwd: ROOT,
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  return result.status === 0;
}

const NODE_TEST = ['--enable-source-maps', '--test', '--test-reporter=spec'];
/** Folder of tests that measure the memory of a process, which run one at a time after all others. */
const ALONE = '/test/crowds/';

const files = TEST_ROOTS.flatMap((root) => compiledTests(join(ROOT, root))).sort();
const together = files.filter((file) => !file.includes(ALONE));
const alone = files.filter((file) => file.includes(ALONE));
// The soak starts the program as the users' platform does.
let green = run([join(ROOT, 'scripts', 'bundle.mjs')]);
green = run([...NODE_TEST, ...together]) && green;
green = run([...NODE_TEST, '--test-concurrency=1', ...alone]) && green;
if (existsSync(FEATURES) && readdirSync(FEATURES).length > 0) {
  green = run([CUCUMBER, '--config', 'packages/promises/cucumber.json']) && green;
}
process.exit(green ? 0 : 1);
