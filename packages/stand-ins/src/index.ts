/**
 * Emulators of the external systems for tests, the demo and the benchmarks. They implement the same
 * protocols on a small scale.
 */
export * from './core/engine/answer.js';
export type { EngineStandIn } from './core/engine/engine.js';
export { startEngine } from './core/engine/engine.js';
export type { EngineFaults } from './core/engine/faults.js';
export type { EngineOptions, LoadedModel, RoleSpeed } from './core/engine/options.js';
export { DEFAULT_ENGINE } from './core/engine/options.js';
export { tokenize } from './core/engine/prompt.js';
export type { EngineCounts } from './core/engine/state.js';
export type { KeyValueFaults } from './core/key-value/faults.js';
export * from './core/key-value/key-value.js';
export * from './core/plain-service/plain-service.js';
export { promptFingerprint } from './core/runs/run-counts.js';
export * from './core/vm-list/vm-list.js';
export * from './core/weight-store/weight-store.js';
export { type PortBlock, freePort, reservePortBlock } from './core/http/free-port.js';
export * from './core/clients/crowd.js';
export * from './core/clients/process-peak.js';
