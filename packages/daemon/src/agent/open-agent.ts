import {
  RelayError,
  ResultCode,
  type AgentClient,
  type ContactReport,
  type DispatchReply,
  type DispatchRequest,
} from '@vanillarelay/core';
import { Pool } from 'undici';
import type { TlsFiles } from '../trust/tls-files.js';
import { dispatchHeaders } from './dispatch-headers.js';

/** Opens an HTTP client of an agent. */
export function openAgent(address: string, key: string, tls?: TlsFiles): AgentClient {
  const pool = new Pool(`${tls ? 'https' : 'http'}://${address}`, {
    ...(tls ? { connect: { ca: tls.ca } } : {}),
    connections: 256,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  const request = async (path: string, head: object, body: Uint8Array, signal?: AbortSignal) => {
    try {
      return await pool.request({
        method: 'POST',
        path,
        headers: { [dispatchHeaders.key]: key, [dispatchHeaders.request]: JSON.stringify(head) },
        body,
        signal: signal ?? null,
      });
    } catch (cause) {
      const notRun = (cause as { code?: string }).code === 'ECONNREFUSED';
      throw new RelayError(ResultCode.connectionFailed, (cause as Error).message, {
        notRun,
        cause,
      });
    }
  };

  const dispatch = async (
    { body, ...head }: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchReply> => {
    const answer = await request('/relay/dispatch', head, body, signal);
    const reply = JSON.parse(String(answer.headers[dispatchHeaders.reply])) as DispatchReply;
    if (reply.type === 'answer') return { ...reply, body: answer.body };
    await answer.body.dump();
    return reply;
  };

  const requestJson = async <T>(path: string, head: object, signal?: AbortSignal): Promise<T> => {
    const answer = await request(path, head, new Uint8Array(), signal);
    return (await answer.body.json()) as T;
  };

  return {
    dispatch,
    resume: async () => {
      throw new RelayError(ResultCode.streamUnknown, 'no such stream', { notRun: true });
    },
    cancel: (streamId) => requestJson('/relay/cancel', { streamId }),
    notePlacement: (note) => requestJson('/relay/placement', note),
    readContact: (stateVersion, signal) =>
      requestJson<ContactReport>('/relay/contact', { stateVersion }, signal),
  };
}
