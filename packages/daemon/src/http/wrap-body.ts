import { RelayError, ResultCode } from '@vanillarelay/core';

/** Yields the chunks of a body; an error of its connection is thrown as `streamBroken`. */
export async function* wrapBody(body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  try {
    yield* body;
  } catch (cause) {
    throw new RelayError(ResultCode.streamBroken, `answer broke off: ${(cause as Error).message}`, {
      cause,
    });
  }
}
