import type { ChangeEntry } from '@vanillarelay/control';
import type { ConfigChange } from '@vanillarelay/core';

/** Lists the accepted configurations that the change history still holds. */
export function listConfigChanges(history: readonly ChangeEntry[]): ConfigChange[] {
  return history.flatMap(({ configVersion, changeId, operator, config }) =>
    config ? [{ version: configVersion, changeId, operator, config }] : [],
  );
}
