import type { AgentPeer } from '@vanillarelay/core';
import type { PeerCredentials } from '../trust/peer-credentials.js';
import { openAgent } from './open-agent.js';

/** Creates a function that returns the client of an agent by address, opened on first use. */
export function createAgentOpener(credentials: PeerCredentials): (address: string) => AgentPeer {
  const agents = new Map<string, AgentPeer>();
  return (address) => {
    const agent = agents.get(address) ?? openAgent(address, credentials);
    agents.set(address, agent);
    return agent;
  };
}
