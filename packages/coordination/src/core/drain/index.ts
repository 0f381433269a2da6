/** Planned change: draining without cutting, never below the floor, in the order of dependencies. */
export * from './drain.js';
export * from './failures.js';
export * from './planned-changes.js';
