/**
 * Drains targets for planned changes without aborting work, without taking a service below its
 * minimum of serving targets, and in the order of service dependencies.
 */
export * from './drain.js';
export * from './failures.js';
export * from './planned-changes.js';
