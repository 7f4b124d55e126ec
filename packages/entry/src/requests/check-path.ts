import { RelayError, ResultCode } from '@vanillarelay/core';

/**
 * Refuses paths with dot segments: an endpoint that resolves them could run a request of another
 * kind than the one whose path prefix matched.
 */
export function checkPath(path: string): void {
  let segments: string[];
  try {
    segments = decodeURIComponent(path.split('?', 1)[0] ?? '').split(/[/\\]/);
  } catch {
    segments = ['..'];
  }
  if (segments.includes('.') || segments.includes('..')) {
    throw new RelayError(ResultCode.malformedRequest, `path '${path}' is not allowed`, {
      notRun: true,
    });
  }
}
