/**
 * `write-code-cache PROGRAM FILE`: compiles every function of a program and writes the compiled code
 * to a file. Functions are compiled ahead, so that none has to be compiled when it is first called.
 */
'use strict';

const { readFileSync, writeFileSync } = require('node:fs');
const { setFlagsFromString } = require('node:v8');
const { Script } = require('node:vm');

const [, , programPath, cachePath] = process.argv;

setFlagsFromString('--no-lazy');
const script = new Script(readFileSync(programPath, 'latin1'), { filename: programPath });
// The code is taken only by a process whose flags are those under which it was written.
setFlagsFromString('--lazy');
writeFileSync(cachePath, script.createCachedData());
