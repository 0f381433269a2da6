/**
 * Steps of the gateway that wait for something, written as generators, so that they stand in the
 * order of the code they simulate. Each thing that happens at the gateway is followed by everything
 * that it lets go on, as it is in an event loop.
 */
import type { Simulation } from './simulation.js';

/** Tells whether a routine can go on. */
export type Wait = () => boolean;

/** Steps that yield what they wait for. */
export type Routine<Value> = Generator<Wait, Value, undefined>;

/** Begins a routine; it takes its first step with the others. */
export function start({ running }: Simulation, routine: Routine<void>): void {
  running.push({ routine, wait: () => true });
}

/** Does something at the gateway and lets every routine go on that can. */
export function atGateway(simulation: Simulation, action: () => void): void {
  action();
  while (stepAll(simulation));
  simulation.oracle.noteStep(simulation);
}

function stepAll(simulation: Simulation): boolean {
  const ready = simulation.running.filter(({ wait }) => wait());
  for (const each of ready) {
    const { done, value } = each.routine.next();
    if (done === true) simulation.running = simulation.running.filter((other) => other !== each);
    else each.wait = value;
  }
  return ready.length > 0;
}
