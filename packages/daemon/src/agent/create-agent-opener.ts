import type { AgentPeer } from '@vanillarelay/core';
import type { Trust } from '../trust/trust.js';
import { openAgent } from './open-agent.js';

/** Creates a function that returns the client of an agent by address, opened on first use. */
export function createAgentOpener(trust: Trust): (address: string) => AgentPeer {
  const agents = new Map<string, AgentPeer>();
  return (address) => {
    const agent = agents.get(address) ?? openAgent(address, trust);
    agents.set(address, agent);
    return agent;
  };
}
