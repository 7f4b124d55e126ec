import { RelayError, ResultCode } from '@vanillarelay/core';
import type { RemovalRequest } from './removal-request.js';

const maxNameLength = 256;

/** Checks a request for a removal that a daemon sent; throws `malformedMessage`. */
export function checkRemovalRequest(received: unknown): void {
  const { diskId } = (received ?? {}) as Record<keyof RemovalRequest, unknown>;
  if (typeof diskId === 'string' && diskId.length > 0 && diskId.length <= maxNameLength) return;
  throw new RelayError(ResultCode.malformedMessage, 'removal: the disk is not valid');
}
