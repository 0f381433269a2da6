/** Planning of model, adapter and version loads within the rate of the weight store. */
export * from './load-planner.js';
