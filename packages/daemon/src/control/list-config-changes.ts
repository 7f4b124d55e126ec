import type { ChangeEntry } from '@vanillarelay/control';
import type { ConfigChange } from '@vanillarelay/core';

/** The accepted configurations in a history of changes, as far as they are kept. */
export function listConfigChanges(history: readonly ChangeEntry[]): ConfigChange[] {
  return history.flatMap(({ configVersion, changeId, operator, config }) =>
    config ? [{ version: configVersion, changeId, operator, config }] : [],
  );
}
