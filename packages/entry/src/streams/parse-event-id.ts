import { toId, type EndpointId, type StreamId } from '@vanillarelay/core';

/** Parses an event id `agentId.streamId.sequence`; an agent id may itself contain dots. */
export function parseEventId(
  text: string | undefined,
): { agent: EndpointId; streamId: StreamId; sequence: number } | undefined {
  const [, agent, streamId, sequence] = /^(.+)\.([^.]+)\.(\d{1,15})$/.exec(text ?? '') ?? [];
  if (!agent || !streamId || !sequence) return undefined;
  return {
    agent: toId<EndpointId>(agent),
    streamId: toId<StreamId>(streamId),
    sequence: Number(sequence),
  };
}
