/**
 * Bundles the program that the users' platform starts into `target/`, from the sources: one file
 * loads in a fraction of the time of some hundred, and each restart of a process is paid for in
 * full. Needs no compiled tree.
 *
 * - `cassiamast-program.cjs`: the bundle, one function expression
 * - `cassiamast-program.cache`: its compiled code
 * - `cassiamast.cjs`: what is started; it runs the bundle from its compiled code
 */
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const SCRIPTS = dirname(fileURLToPath(import.meta.url));
const ROOT = join(SCRIPTS, '..');
const TARGET = join(ROOT, 'target');
const PROGRAM = join(TARGET, 'cassiamast-program.cjs');
const CACHE = join(TARGET, 'cassiamast-program.cache');

const sourceOf = (name) => join(ROOT, 'packages', name, 'src', 'index.ts');
const bundled = (name) => join(SCRIPTS, 'bundled', name);

/** Modules that the program loads in place of larger ones. */
const REPLACED = {
  'node:assert': bundled('assert.cjs'),
  'node:http2': bundled('http2.cjs'),
  'hdr-histogram-js': bundled('hdr-histogram-js.mjs'),
  undici: bundled('undici.mjs'),
};

/** Modules of the runtime can be replaced by a plugin only. */
const replaceModules = {
  name: 'replace-modules',
  setup: (bundler) => {
    bundler.onResolve(
      { filter: /^(node:assert|node:http2|hdr-histogram-js|undici)$/ },
      (asked) => ({
        path: REPLACED[asked.path],
      }),
    );
  },
};

/** Flags of the runtime that the deploy file starts the program with. */
function deployFlags() {
  const deployFile = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const command = /^run = "node (.*)"$/m.exec(deployFile)?.[1] ?? '';
  return command.split(' ').filter((word) => word.startsWith('--max-'));
}

await build({
  entryPoints: [join(ROOT, 'platform', 'src', 'main.ts')],
  outfile: PROGRAM,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: {
    '@cassiamast/coordination': sourceOf('coordination'),
    '@cassiamast/daemon': sourceOf('daemon'),
    '@cassiamast/ports': sourceOf('ports'),
  },
  plugins: [replaceModules],
  // One function expression, so that the compiled code of the whole can be kept.
  banner: { js: '(function (exports, require, module) {' },
  footer: { js: '})' },
  // Names stay, so that stacks and profiles can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});

mkdirSync(TARGET, { recursive: true });
copyFileSync(join(SCRIPTS, 'start-program.cjs'), join(TARGET, 'cassiamast.cjs'));
// Under the flags of the deploy file: compiled code is taken only under those it was written under.
const written = spawnSync(
  process.execPath,
  [...deployFlags(), join(SCRIPTS, 'write-code-cache.cjs'), PROGRAM, CACHE],
  { stdio: ['ignore', 'inherit', 'inherit'] },
);
if (written.status !== 0) throw new Error('the compiled code of the bundle was not written');
