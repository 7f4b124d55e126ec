import type { AgentClient } from '@vanillarelay/core';
import type { Link } from './link.js';

/** Wraps a client so that an entry fetches newer state when an agent's reply names its version. */
export function wrapAgentClient<T extends AgentClient>(
  client: T,
  findLink: () => Pick<Link, 'receiveVersion'>,
): AgentClient {
  return {
    dispatch: async (request, signal) => {
      const reply = await client.dispatch(request, signal);
      void findLink().receiveVersion(reply.stateVersion);
      return reply;
    },
    resume: (streamId, after, signal) => client.resume(streamId, after, signal),
    cancel: (streamId) => client.cancel(streamId),
    announcePlacement: (update) => client.announcePlacement(update),
    readContact: (stateVersion, signal) => client.readContact(stateVersion, signal),
  };
}
