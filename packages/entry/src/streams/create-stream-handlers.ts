import {
  RelayError,
  ResultCode,
  type AgentClient,
  type EndpointId,
  type Member,
  type RequestId,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';
import type { createInFlightCalls } from '../attempts/create-in-flight-calls.js';
import type { InFlightCall } from '../attempts/in-flight-call.js';
import type { CallerReply } from '../caller-reply.js';
import type { CallerRequest } from '../caller-request.js';
import { parseEventId } from './parse-event-id.js';

interface StreamHandlersOptions {
  link: Pick<Link, 'readView'>;
  openAgent: (address: string) => AgentClient;
  inFlightCalls: ReturnType<typeof createInFlightCalls>;
  /** Wraps the rest of an answer, so that an early end is detected. */
  wrapAnswer: (
    headers: Record<string, string>,
    body: AsyncIterable<Uint8Array>,
    requestId: RequestId,
    call: InFlightCall,
  ) => AsyncIterable<Uint8Array>;
}

const streamPath = /^\/v1\/streams\/([^/?]+)$/;

/** Creates the handlers that resume and cancel a stream; any entry can serve any stream. */
export function createStreamHandlers(options: StreamHandlersOptions) {
  const { link, openAgent, inFlightCalls, wrapAnswer } = options;

  /**
   * Finds the agent, the stream and the position in it. The path contains `agentId.streamId`, or
   * only the stream id if `Last-Event-ID` names the agent.
   */
  const parsePosition = (path: string, lastEventId: string | undefined) => {
    const [, name] = streamPath.exec(path) ?? [];
    if (!name) {
      throw new RelayError(ResultCode.unknownPath, `no path '${path}'`, { notRun: true });
    }
    const position = parseEventId(lastEventId ?? `${name}.0`);
    const names: string[] | undefined = position && [
      position.streamId,
      `${position.agent}.${position.streamId}`,
    ];
    if (!position || !names?.includes(name)) {
      throw new RelayError(
        ResultCode.malformedRequest,
        `stream '${name}' with Last-Event-ID '${lastEventId ?? ''}': expected agentId.streamId in the path, or an event id agentId.streamId.sequence of this stream`,
        { notRun: true },
      );
    }
    return position;
  };

  const findAgent = (agent: EndpointId): Member => {
    const member = link.readView().members.get(agent);
    if (member) return member;
    throw new RelayError(
      ResultCode.streamUnknown,
      `agent '${agent}' of the stream has left the fleet`,
    );
  };

  const handle = async (
    request: CallerRequest,
    requestId: RequestId,
    signal: AbortSignal,
  ): Promise<CallerReply> => {
    const position = parsePosition(request.path, request.headers['last-event-id']);
    const member = findAgent(position.agent);
    const client = openAgent(member.address);
    if (request.method === 'DELETE') {
      await client.cancel(position.streamId);
      return { status: 204, headers: { 'x-request-id': requestId }, body: writeNothing() };
    }
    const { signal: watched, call } = inFlightCalls.addWatched(member, signal);
    try {
      const reply = await client.resume(position.streamId, position.sequence, watched);
      if (reply.type === 'refusal') {
        const { code, message, ...refusal } = reply.refusal;
        throw new RelayError(code, message, refusal);
      }
      return {
        status: reply.status,
        headers: { ...reply.headers, 'x-request-id': requestId, 'x-endpoint': member.id },
        body: wrapAnswer(reply.headers, reply.body, requestId, call),
      };
    } catch (error) {
      inFlightCalls.remove(call);
      throw error;
    }
  };

  const isStreamRequest = ({ method, path }: CallerRequest): boolean =>
    (method === 'GET' || method === 'DELETE') && path.startsWith('/v1/streams/');

  return { handle, isStreamRequest };
}

async function* writeNothing(): AsyncGenerator<Uint8Array> {
  // A 204 has no body.
}
