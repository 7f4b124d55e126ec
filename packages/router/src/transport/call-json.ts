import { Agent, request, type IncomingMessage } from 'node:http';
import { RelayError, ResultCode, type Refusal } from '@vanillarelay/core';
import { readBody, splitAddress } from '@vanillarelay/daemon';
import { observeFraming } from '../framing/observe-framing.js';
import { decodeMessage } from './decode-message.js';
import { encodeMessage } from './encode-message.js';
import { maxMessageBytes } from './max-message-bytes.js';

interface JsonCall {
  address: string;
  path: string;
  body: unknown;
  signal: AbortSignal;
  /** Called with the size of each message as it is sent, without HTTP headers. */
  recordBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

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
  const { payload, headers } = encodeMessage(body);
  recordBytes('sent', payload.length);
  const { host, port } = splitAddress(address);
  const { answer, bytes } = await new Promise<Answer>((resolve, reject) => {
    const call = request(
      { ...{ host, port, path, agent, signal, headers }, method: 'POST' },
      (message) => {
        readBody(message, maxMessageBytes).then(
          (received) => resolve({ answer: message, bytes: received }),
          (error: Error) => {
            // The rest may have no end.
            message.destroy();
            reject(error);
          },
        );
      },
    );
    observeFraming(call, (fault) => {
      const text = `${address}${path} answered with ${fault}`;
      return new RelayError(ResultCode.connectionFailed, text);
    });
    call.on('error', reject);
    call.end(payload);
  });
  recordBytes('received', bytes.length);
  const reply = decodeMessage<T & { refusal?: Refusal }>(answer, bytes);
  if (answer.statusCode === okStatus) return reply;
  const { code, message, ...details } = reply.refusal ?? {
    code: ResultCode.connectionFailed,
    message: `${address}${path} answered ${answer.statusCode}`,
  };
  throw new RelayError(code, message, details);
}

interface Answer {
  answer: IncomingMessage;
  bytes: Uint8Array;
}

const okStatus = 200;
