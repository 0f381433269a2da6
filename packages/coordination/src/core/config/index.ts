/**
 * Spreads the operators' configuration to all members. Versions are changed by compare-and-swap, and
 * a process never reverts to an older one.
 */
export { serveConfigFetch, versionInForce } from './apply-version.js';
export { seenRatio } from './staleness.js';
export type { ConfigurationPatch, MemberConfiguration } from './document.js';
export { applyPatch, configurationHash, diffConfigurations, withoutText } from './document.js';
export * from './editor.js';
export * from './effects.js';
export * from './failures.js';
export * from './head.js';
export * from './sync.js';
export * from './options.js';
export type { ConfigState } from './state.js';
export { createConfigState } from './state.js';
