/**
 * The fuzzer as a library: the runner and its worlds, for the tests of this package.
 */
export * from './kit/runner.js';
export * from './worlds/catalogue.js';
