import type { IncomingMessage, ServerResponse } from 'node:http';

/** Maximum time for which the rest of a request is read, so that its caller can read the answer. */
const lingerMs = 2_000;

/**
 * Sends an answer before the whole request has been read. Closing the connection at once would
 * reset it while the caller is sending, and the answer would be lost; so the rest of the request is
 * read and discarded first.
 */
export async function writeEarly(
  request: IncomingMessage,
  response: ServerResponse,
  status: number,
  headers: Record<string, string>,
  body: Uint8Array,
): Promise<void> {
  response.writeHead(status, {
    ...headers,
    connection: 'close',
    'content-length': String(body.length),
  });
  response.write(body);
  if (!request.complete) {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, lingerMs);
      const settle = () => {
        clearTimeout(timer);
        resolve();
      };
      request.once('end', settle);
      request.once('close', settle);
      request.resume();
    });
  }
  response.end();
}
