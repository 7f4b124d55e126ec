import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { RelayError, ResultCode } from '@vanillarelay/core';
import type { CallerReply } from '@vanillarelay/entry';

/** Answers a request that Node's HTTP server has rejected, and closes the connection. */
export async function refuseMalformed(
  error: NodeJS.ErrnoException,
  socket: Duplex,
  buildRefusalReply: (error: unknown) => CallerReply,
): Promise<void> {
  // Node stores the response in progress here; a second answer in its middle would corrupt it.
  const { _httpMessage: response } = socket as { _httpMessage?: ServerResponse };
  if (!socket.writable || error.code === 'ECONNRESET' || response?.headersSent) {
    socket.destroy();
    return;
  }
  const reply = buildRefusalReply(buildError(error.code));
  const chunks: Uint8Array[] = [];
  for await (const chunk of reply.body) chunks.push(chunk);
  const body = Buffer.concat(chunks);
  const headers = { ...reply.headers, connection: 'close', 'content-length': String(body.length) };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const status = `HTTP/1.1 ${reply.status} ${STATUS_CODES[reply.status]}\r\n`;
  socket.end(Buffer.concat([Buffer.from(`${status}${lines.join('')}\r\n`), body]));
}

function buildError(code: string | undefined): RelayError {
  const options = { notRun: true };
  if (code === 'HPE_HEADER_OVERFLOW') {
    return new RelayError(ResultCode.headersTooLarge, 'headers are too large', options);
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return new RelayError(ResultCode.slowCaller, 'the request did not arrive in time', options);
  }
  return new RelayError(ResultCode.malformedRequest, `malformed HTTP (${code})`, options);
}
