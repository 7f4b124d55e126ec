import {
  RelayError,
  ResultCode,
  type AgentClient,
  type EndpointId,
  type Member,
  type RequestId,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';
import type { createFlights } from '../attempts/create-flights.js';
import type { Flight } from '../attempts/flight.js';
import type { CallerReply } from '../caller-reply.js';
import type { CallerRequest } from '../caller-request.js';
import { parseEventId } from './parse-event-id.js';

interface StreamHandlersOptions {
  link: Pick<Link, 'readView'>;
  openAgent: (address: string) => AgentClient;
  flights: ReturnType<typeof createFlights>;
  /** Watches the rest of the answer for an early end. */
  wrapAnswer: (
    headers: Record<string, string>,
    body: AsyncIterable<Uint8Array>,
    requestId: RequestId,
    flight: Flight,
  ) => AsyncIterable<Uint8Array>;
}

const streamPath = /^\/v1\/streams\/([^/?]+)$/;

/** Makes the handlers that resume and cancel a stream; any entry serves any stream. */
export function createStreamHandlers(options: StreamHandlersOptions) {
  const { link, openAgent, flights, wrapAnswer } = options;

  /**
   * Finds agent, stream and position. The path holds `agentId.streamId`, or the stream id alone
   * when `Last-Event-ID` names the agent.
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
    throw new RelayError(ResultCode.streamUnknown, `agent '${agent}' of the stream is gone`);
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
    const { signal: watched, flight } = flights.openWatched(member, signal);
    try {
      const reply = await client.resume(position.streamId, position.sequence, watched);
      if (reply.type === 'refusal') {
        const { code, message, ...refusal } = reply.refusal;
        throw new RelayError(code, message, refusal);
      }
      return {
        status: reply.status,
        headers: { ...reply.headers, 'x-request-id': requestId, 'x-endpoint': member.id },
        body: wrapAnswer(reply.headers, reply.body, requestId, flight),
      };
    } catch (error) {
      flights.remove(flight);
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
