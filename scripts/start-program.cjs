/**
 * Runs the bundled program from its compiled code. Guards against a start that compiles the bundle
 * anew: it shows as a gateway on a small VM that takes a second to listen, and as its first answers,
 * which come late since each function on their way is compiled when it is first called. Where the
 * compiled code is missing, or of another version of the runtime, the program is compiled as usual.
 */
'use strict';

const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

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
script.runInThisContext()(exports, require, module);
