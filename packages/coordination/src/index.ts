/**
 * The public face of the library: the parts that another program embeds. Everything else under
 * `core/` is internal and may change.
 */
export * from './core/claims/aggregator.js';
export * from './core/claims/claim.js';
export * from './core/claims/client.js';
export * from './core/claims/key-value.js';
export * from './core/clock/clock.js';
export * from './core/events/event.js';
export * from './core/failures/failure.js';
export * from './core/hashing/hashing.js';
export * from './core/model/configuration.js';
export * from './core/model/member.js';
export * from './core/model/outcome.js';
export * from './core/placement/absence.js';
export * from './core/placement/placement.js';
export * from './core/poison/client-types.js';
export * from './core/poison/client.js';
export * from './core/poison/ledger.js';
export * from './core/poison/suspicions.js';
export * from './core/random/random.js';
export { eventIdOf, extendHash, parseEventId } from './core/records/drive-delivery.js';
export * from './core/records/drive-messages.js';
export * from './core/records/drive-types.js';
export * from './core/records/drive.js';
export * from './core/records/entry-sessions.js';
export * from './core/records/failures.js';
export * from './core/records/holder.js';
export * from './core/records/host-types.js';
export { runningAttempts } from './core/records/host-dispatch.js';
export * from './core/records/host.js';
export * from './core/records/messages.js';
export * from './core/records/options.js';
export * from './core/records/record.js';
export * from './core/records/repair.js';
export * from './core/records/sessions.js';
export * from './core/retries/retries.js';
