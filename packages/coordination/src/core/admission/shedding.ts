/**
 * What is shed first when an entry itself has too much to do: the services of lowest priority.
 * Priorities are the effective ones of `dependencies/`: a service that others depend on counts as
 * important as the most important of those.
 */
/** Pressure from which the lowest priority is shed; all but the highest are shed at 1. */
const SHED_FROM = 0.8;

/**
 * Names of the services to shed at a pressure from 0 to 1 (used part of the entry's bounded
 * memory or connections). The highest priority is never shed here: its own queue bounds it.
 */
export function servicesToShed(
  priorities: ReadonlyMap<string, number>,
  pressure: number,
): ReadonlySet<string> {
  const levels = [...new Set(priorities.values())].sort((a, b) => a - b);
  const over = Math.max(0, (pressure - SHED_FROM) / (1 - SHED_FROM));
  const shedLevels = Math.min(levels.length - 1, Math.ceil(over * (levels.length - 1)));
  const bound = levels[shedLevels];
  if (bound === undefined || shedLevels <= 0) return new Set();
  return new Set([...priorities].filter(([, own]) => own < bound).map(([name]) => name));
}
