/**
 * Stands for `node:http2`, which undici loads at each start and the gateway never speaks: without
 * it, the TLS of the runtime is not loaded either. The names that undici reads are undefined.
 */
'use strict';

module.exports = { constants: {} };
