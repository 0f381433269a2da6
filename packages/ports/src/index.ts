/**
 * Public API of the ports package: interfaces to outside systems and their HTTP clients. Each port
 * is a record of functions, so that a real system can replace a stand-in without changes to the
 * decision code.
 */
export * from './duties/failures.js';
export * from './duties/port.js';
export * from './engine-control/failures.js';
export * from './engine-control/port.js';
export * from './engine/client.js';
export { EngineErrorCode } from './engine/errors.js';
export * from './engine/failures.js';
export * from './engine/port.js';
export * from './caller-wire/port.js';
export * from './fleet/failures.js';
export * from './fleet/port.js';
export * from './http/json.js';
export * from './http/transport.js';
export * from './key-value/client.js';
export * from './key-value/failures.js';
export * from './key-value/port.js';
export * from './plain-service/client.js';
export * from './plain-service/failures.js';
export * from './plain-service/port.js';
export * from './vm-list/client.js';
export * from './vm-list/failures.js';
export * from './vm-list/port.js';
export * from './weight-store/client.js';
export * from './weight-store/failures.js';
export * from './weight-store/port.js';
