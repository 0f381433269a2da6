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
export * from './core/routing/cache-news.js';
export * from './core/routing/engine-profile.js';
export * from './core/routing/load-report.js';
export { expectedOutputTokens } from './core/routing/output-length.js';
export * from './core/routing/route.js';
export * from './core/routing/router.js';
export * from './core/admission/admission.js';
export * from './core/admission/failures.js';
export { isBorrowing } from './core/admission/fair-queue.js';
export type { Waiting } from './core/admission/fair-queue.js';
export * from './core/admission/limits.js';
export * from './core/admission/shedding.js';
export * from './core/admission/start-rule.js';
export * from './core/outliers/outliers.js';
export * from './core/roles/demand.js';
export * from './core/roles/planner.js';
