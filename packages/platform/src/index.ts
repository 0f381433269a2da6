/**
 * The ports to the outside systems and their adapters. A port is a record of functions, so that a
 * user's real system replaces a stand-in without touching a decision.
 */
export * from './engine/port.js';
export * from './key-value/port.js';
export * from './plain-service/port.js';
export * from './vm-list/port.js';
export * from './weight-store/port.js';
