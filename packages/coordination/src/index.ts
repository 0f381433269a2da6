/**
 * The public face of the library: the parts that another program embeds. Everything else under
 * `core/` is internal and may change.
 */
export * from './core/clock/clock.js';
export * from './core/events/event.js';
export * from './core/failures/failure.js';
export * from './core/hashing/hashing.js';
export * from './core/model/configuration.js';
export * from './core/model/member.js';
export * from './core/model/outcome.js';
export * from './core/random/random.js';
export * from './core/membership/index.js';
export * from './core/config/index.js';
export * from './core/authority/index.js';
export * from './core/drain/index.js';
export * from './core/loads/index.js';
