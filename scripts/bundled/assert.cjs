/**
 * `node:assert` as undici uses it: a check that throws. The module of the runtime brings a comparison
 * of any two values, colours and the standard error stream with it, all made at each start.
 */
'use strict';

module.exports = function assert(value, message = 'an internal check of undici failed') {
  if (value) return;
  throw message instanceof Error ? message : new Error(message);
};
