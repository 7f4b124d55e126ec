import { toId } from '@vanillarelay/core';
import type { HostName } from './host-name.js';

/** Converts a host as it is written; hosts that differ only in case are the same. */
export function toHostName(text: string): HostName {
  return toId<HostName>(text.toLowerCase());
}
