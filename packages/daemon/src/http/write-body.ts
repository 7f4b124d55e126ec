import type { ServerResponse } from 'node:http';
import { waitForDrain } from './wait-for-drain.js';

/** The connection of a reader that accepts no data for this long is closed. */
const slowReaderLimitMs = 60_000;

/**
 * Writes a body with back pressure. When the body throws, the data written so far is flushed and
 * the connection is closed without the end of the answer, so that the reader sees that it is
 * incomplete.
 */
export async function writeBody(
  response: ServerResponse,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  try {
    for await (const chunk of body) {
      if (response.destroyed) return;
      if (!response.write(chunk)) await waitForDrain(response, slowReaderLimitMs);
    }
    response.end();
  } catch {
    response.socket?.destroySoon();
  }
}
