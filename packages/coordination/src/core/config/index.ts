/** Configuration: one version in force everywhere, changed by compare-and-swap, never reverting. */
export { serveConfigFetch, versionInForce } from './adopting.js';
export { seenRatio } from './cut-off.js';
export type { ConfigurationPatch, MemberConfiguration } from './document.js';
export { applyPatch, configurationHash, diffConfigurations, withoutText } from './document.js';
export * from './editor.js';
export * from './effects.js';
export * from './failures.js';
export * from './head.js';
export * from './keeper.js';
export * from './options.js';
export type { ConfigState } from './state.js';
export { createConfigState } from './state.js';
