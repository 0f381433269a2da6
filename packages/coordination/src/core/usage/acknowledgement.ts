/**
 * Decides when enough gateways know the fixed counts of a window, so that a report can be sent before
 * all of them have read the counts from the store. A store that comes back from an older copy may lack
 * them, and the next reporter then learns them from the gateways that acknowledged.
 */

/** What a gateway answers when it is told fixed counts. */
export enum UsageAcknowledgement {
  /** It remembers the counts. */
  Known = 'known',
  /** It remembers other counts of that window, which may have been reported. */
  Contradicted = 'contradicted',
  /** A reporter with a higher fencing token has asked it for counts. */
  Outdated = 'outdated',
}

/**
 * Returns whether all gateways that can be reached know the counts, and more than half of the fleet.
 * A lone gateway has nobody who would know them after it.
 *
 * @param others - The gateways that were announced lately, without the one that asks.
 */
export function isAcknowledged(
  others: readonly string[],
  acknowledged: ReadonlySet<string>,
  isSilent: (gateway: string) => boolean,
): boolean {
  const knownCount = others.filter((gateway) => acknowledged.has(gateway)).length + 1;
  const isMajority = others.length > 0 && 2 * knownCount > others.length + 1;
  return isMajority && others.every((gateway) => acknowledged.has(gateway) || isSilent(gateway));
}
