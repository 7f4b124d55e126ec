import { RelayError, ResultCode } from '@vanillarelay/core';
import { checkAddresses } from './check-addresses.js';
import type { DaemonInfo } from './daemon-info.js';
import { isName } from './is-name.js';

/** Checks a daemon's identity that it or a hub sent; throws `malformedMessage`. */
export function checkDaemonInfo(received: unknown): void {
  const info = (received ?? {}) as Record<keyof DaemonInfo, unknown>;
  const names = [info.id, info.incarnation, info.dataCentre, info.diskId ?? 'none'];
  if (!names.every(isName)) {
    throw new RelayError(ResultCode.malformedMessage, 'daemon: a name is not valid');
  }
  checkAddresses([info.address]);
}
