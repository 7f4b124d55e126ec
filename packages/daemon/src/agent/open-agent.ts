import {
  RelayError,
  ResultCode,
  type AgentPeer,
  type ContactReport,
  type DispatchReply,
} from '@vanillarelay/core';
import { Pool, type Dispatcher } from 'undici';
import { requestAnswer } from '../http/request-answer.js';
import { wrapBody } from '../http/wrap-body.js';
import type { PeerCredentials } from '../trust/peer-credentials.js';
import { dispatchHeaders } from './dispatch-headers.js';
import { encodeHead } from './encode-head.js';

/** Maximum size of all headers of an answer together; the same as in an agent's server. */
const maxHeaderBytes = 64 * 1024;
/**
 * Time limit for opening a connection. A lost VM does not respond, and undici's default of 10 s
 * would delay requests that could run elsewhere.
 */
const connectTimeoutMs = 1_000;
/**
 * Statuses from 400 to 499 count as not run. An agent's server sends them for a message without a
 * valid key, for an unknown path, and for an error before the response has begun.
 */
const minClientErrorStatus = 400;
const minServerErrorStatus = 500;

/** Opens an HTTP client for an agent. */
export function openAgent(address: string, { key, tls }: PeerCredentials): AgentPeer {
  // No limit on connections: the agent queues requests, and long answers must not block messages.
  // The value 0 disables undici's limits on the time of an answer, which may be long.
  const pool = new Pool(`${tls ? 'https' : 'http'}://${address}`, {
    connect: { timeout: connectTimeoutMs, ...(tls ? { ca: tls.ca } : {}) },
    headersTimeout: 0,
    bodyTimeout: 0,
    maxHeaderSize: maxHeaderBytes,
  });

  const request = (path: string, head: object, body: Uint8Array, signal?: AbortSignal) =>
    requestAnswer(pool, {
      method: 'POST',
      path,
      headers: { [dispatchHeaders.key]: key, [dispatchHeaders.request]: encodeHead(head) },
      body,
      signal: signal ?? null,
    });

  const readReply = async (answer: Dispatcher.ResponseData): Promise<DispatchReply> => {
    const text = answer.headers[dispatchHeaders.reply];
    if (typeof text !== 'string') throw await buildStatusError(answer);
    const reply = JSON.parse(text) as DispatchReply;
    if (reply.type === 'answer') return { ...reply, body: wrapBody(answer.body) };
    await answer.body.dump();
    return reply;
  };

  const requestJson = async <T>(
    path: string,
    head: object,
    { body = new Uint8Array(), signal }: { body?: Uint8Array; signal?: AbortSignal } = {},
  ): Promise<T> => {
    const answer = await request(path, head, body, signal);
    if (answer.statusCode >= minClientErrorStatus) throw await buildStatusError(answer);
    return (await answer.body.json()) as T;
  };

  return {
    dispatch: async ({ body, ...head }, signal) =>
      readReply(await request('/relay/dispatch', head, body, signal)),
    resume: async (streamId, after, signal) =>
      readReply(await request('/relay/resume', { streamId, after }, new Uint8Array(), signal)),
    cancel: (streamId) => requestJson('/relay/cancel', { streamId }),
    announcePlacement: (update) => requestJson('/relay/placement', update),
    readContact: (stateVersion, signal) =>
      requestJson<ContactReport>('/relay/contact', { stateVersion }, { signal }),
    importCache: (transfer, cache, signal) =>
      requestJson('/relay/cache', transfer, { body: cache, signal }),
  };
}

async function buildStatusError({
  statusCode,
  body,
}: Dispatcher.ResponseData): Promise<RelayError> {
  await body.dump();
  return new RelayError(ResultCode.malformedMessage, `agent answered with status ${statusCode}`, {
    notRun: statusCode >= minClientErrorStatus && statusCode < minServerErrorStatus,
  });
}
