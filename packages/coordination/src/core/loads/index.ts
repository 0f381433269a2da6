/** Loads of models, adapters and versions within the weight store's rate. */
export * from './load-planner.js';
