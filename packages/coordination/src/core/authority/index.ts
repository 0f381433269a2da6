/** The planner's lease, the gate in front of each engine, and the planner's side of an order. */
export * from './failures.js';
export * from './gate-state.js';
export * from './lease-holder.js';
export * from './order-gate.js';
export * from './order-machine.js';
export * from './orders.js';
