/**
 * Bundles the program that the users' platform starts into target/cassiamast.mjs, from the sources:
 * one file loads in a fraction of the time of some hundred, and each restart of a process is paid
 * for in full. Needs no compiled tree.
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const sourceOf = (name) => join(ROOT, 'packages', name, 'src', 'index.ts');

await build({
  entryPoints: [join(ROOT, 'platform', 'src', 'main.ts')],
  outfile: join(ROOT, 'target', 'cassiamast.mjs'),
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  alias: {
    '@cassiamast/coordination': sourceOf('coordination'),
    '@cassiamast/daemon': sourceOf('daemon'),
    '@cassiamast/ports': sourceOf('ports'),
    undici: join(ROOT, 'scripts', 'undici-connections.mjs'),
  },
  // Libraries in CommonJS ask for Node's own modules by `require`.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  // Names stay, so that stacks and profiles can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
