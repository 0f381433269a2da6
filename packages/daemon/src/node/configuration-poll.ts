/**
 * Takes the configuration from the key-value service and keeps the highest version seen. An answer
 * that is older than what is in force, as from a lagging replica, changes nothing.
 */
import { CONFIGURATION_CURRENT_KEY, type ConfigurationDocument } from '@cassiamast/coordination';
import type { KeyValuePort } from '@cassiamast/platform';
import type { Child } from '../supervisor/supervisor.js';
import { createPeriodic } from './timers.js';

const POLL_MS = 500;

/** Polls the current document; `onDocument` hears of each higher version once. */
export function createConfigurationPoll(
  keyValue: KeyValuePort,
  onDocument: (document: ConfigurationDocument) => void,
): Child {
  let version = 0;
  return createPeriodic(
    'configuration-poll',
    () => POLL_MS,
    async () => {
      const entry = await keyValue.get(CONFIGURATION_CURRENT_KEY);
      if (entry.isErr() || entry.value === null) return;
      const document = JSON.parse(entry.value.value) as ConfigurationDocument;
      if (document.version <= version) return;
      version = document.version;
      onDocument(document);
    },
  );
}
