import type { IncomingMessage, ServerResponse } from 'node:http';

/** Time that a caller gets to read a refusal while it still sends its body. */
const lingerMs = 2_000;

/**
 * Sends an answer before the request was read whole. Closing at once would reset the connection
 * while the caller sends, and the answer would be lost; so what still comes is read and discarded.
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
      const wake = () => {
        clearTimeout(timer);
        resolve();
      };
      request.once('end', wake);
      request.once('close', wake);
      request.resume();
    });
  }
  response.end();
}
