import { Agent, request } from 'node:http';
import { RelayError, ResultCode, type Refusal } from '@vanillarelay/core';
import { readBody, splitAddress } from '@vanillarelay/daemon';

interface JsonCall {
  address: string;
  path: string;
  body: unknown;
  signal: AbortSignal;
  /** Called with the size of each message, without HTTP headers. */
  recordBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

/** Maximum size of a reply; snapshots of the log are sent in parts below this size. */
const maxReplyBytes = 16 * 1024 * 1024;
const maxIdlePerDaemon = 4;
const idleTimeoutMs = 30_000;

const agent = new Agent({
  keepAlive: true,
  maxFreeSockets: maxIdlePerDaemon,
  timeout: idleTimeoutMs,
});

/**
 * Calls another daemon with one JSON message. An aborted call closes its connection, so that an
 * unresponsive connection is not reused.
 */
export async function callJson<T>(options: JsonCall): Promise<T> {
  const { address, path, body, signal, recordBytes } = options;
  const payload = Buffer.from(JSON.stringify(body));
  recordBytes('sent', payload.length);
  const { host, port } = splitAddress(address);
  const { status, text } = await new Promise<{ status: number; text: string }>(
    (resolve, reject) => {
      const call = request(
        {
          ...{ host, port, path, agent, signal },
          method: 'POST',
          headers: { 'content-type': 'application/json', 'content-length': payload.length },
        },
        (answer) => {
          readBody(answer, maxReplyBytes).then(
            (bytes) =>
              resolve({ status: answer.statusCode ?? 0, text: Buffer.from(bytes).toString() }),
            reject,
          );
        },
      );
      call.on('error', reject);
      call.end(payload);
    },
  );
  recordBytes('received', Buffer.byteLength(text));
  const reply = JSON.parse(text) as T & { refusal?: Refusal };
  if (status === okStatus) return reply;
  const { code, message, ...details } = reply.refusal ?? {
    code: ResultCode.connectionFailed,
    message: `${address}${path} answered ${status}`,
  };
  throw new RelayError(code, message, details);
}

const okStatus = 200;
