/**
 * Runs the bundled program from its compiled code. Guards against a start that compiles the bundle
 * anew: it shows as a gateway on a small VM that takes a second to listen, and as its first answers,
 * which come late since each function on their way is compiled when it is first called. Where the
 * compiled code is missing, or of another version of the runtime, the program is compiled as usual.
 */
'use strict';

// The program reads its settings once it is loaded; until then the signal's default action would end
// the process.
process.on('SIGHUP', () => undefined);

const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const { setFlagsFromString } = require('node:v8');
const { Script } = require('node:vm');
// Both are loaded when a port is first listened on. Here, the compiled code of the first is still
// taken, and the second reads its files while no other thread of the runtime is active.
require('node:cluster');
require('node:dns');

/**
 * The optimizing compiler waits for so long. It runs on threads of its own, which on a share of one
 * core take the time of the first requests: those of callers who waited for this process to start.
 */
const OPTIMIZE_AFTER_MS = 700;
const PROGRAM = join(__dirname, 'cassiamast-program.cjs');
const CACHE = join(__dirname, 'cassiamast-program.cache');

function readCache() {
  try {
    return readFileSync(CACHE);
  } catch (error) {
    const cause = String(error);
    const message = 'started without compiled code';
    process.stdout.write(`${JSON.stringify({ level: 'warn', message, cause })}\n`);
    return undefined;
  }
}

// The bundle holds ASCII only, which is read without decoding.
const script = new Script(readFileSync(PROGRAM, 'latin1'), {
  filename: PROGRAM,
  cachedData: readCache(),
});
if (script.cachedDataRejected) {
  const message = 'compiled code not taken: it is of another runtime, or flags differ';
  process.stdout.write(`${JSON.stringify({ level: 'warn', message })}\n`);
}
setFlagsFromString('--no-opt');
setTimeout(() => {
  setFlagsFromString('--opt');
}, OPTIMIZE_AFTER_MS).unref();
script.runInThisContext()(exports, require, module);
