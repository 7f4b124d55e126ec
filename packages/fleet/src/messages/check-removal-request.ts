import { RelayError, ResultCode } from '@vanillarelay/core';
import { isName } from './is-name.js';
import type { RemovalRequest } from './removal-request.js';

/** Checks a request for a removal that a daemon sent; throws `malformedMessage`. */
export function checkRemovalRequest(received: unknown): void {
  const { diskId } = (received ?? {}) as Record<keyof RemovalRequest, unknown>;
  if (isName(diskId)) return;
  throw new RelayError(ResultCode.malformedMessage, 'removal: the disk is not valid');
}
