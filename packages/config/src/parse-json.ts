import { RelayError, ResultCode } from '@vanillarelay/core';

/** Parses JSON; throws a `RelayError` that names the source. */
export function parseJson(text: string, source: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new RelayError(
      ResultCode.unreadableFile,
      `${source}: got ${(cause as Error).message}, allowed: JSON`,
      { notRun: true, cause },
    );
  }
}
