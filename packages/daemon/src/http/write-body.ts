import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

/** Writes a body with back pressure; breaks the connection off when the body throws. */
export async function writeBody(
  response: ServerResponse,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  try {
    for await (const chunk of body) {
      if (response.destroyed) return;
      if (!response.write(chunk))
        await Promise.race([once(response, 'drain'), once(response, 'close')]);
    }
    response.end();
  } catch {
    response.destroy();
  }
}
