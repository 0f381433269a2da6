/**
 * Load shedding for an overloaded entry: the services of lowest priority are shed first. The
 * priorities are the effective ones of `dependencies/`, where a service ranks at least as high as
 * the most important service that depends on it.
 */
/** Pressure above which the lowest priority is shed; at 1, all but the highest are shed. */
const SHED_FROM_PRESSURE = 0.8;

/**
 * Returns the names of the services to shed at a pressure from 0 to 1, which is the used fraction
 * of the entry's memory or connection limit. The highest priority is never shed here, because its
 * own queue limits it.
 */
export function servicesToShed(
  priorities: ReadonlyMap<string, number>,
  pressure: number,
): ReadonlySet<string> {
  const levels = [...new Set(priorities.values())].sort((a, b) => a - b);
  const overload = Math.max(0, (pressure - SHED_FROM_PRESSURE) / (1 - SHED_FROM_PRESSURE));
  const shedLevels = Math.min(levels.length - 1, Math.ceil(overload * (levels.length - 1)));
  const lowestKept = levels[shedLevels];
  if (lowestKept === undefined || shedLevels <= 0) return new Set();
  return new Set(
    [...priorities].filter(([, priority]) => priority < lowestKept).map(([name]) => name),
  );
}
