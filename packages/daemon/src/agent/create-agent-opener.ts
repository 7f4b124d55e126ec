import type { AgentPeer } from '@vanillarelay/core';
import type { Trust } from '../trust/trust.js';
import { openAgent } from './open-agent.js';

/** Makes a function that opens agents by address, each of them once. */
export function createAgentOpener(trust: Trust): (address: string) => AgentPeer {
  const agents = new Map<string, AgentPeer>();
  return (address) => {
    const agent = agents.get(address) ?? openAgent(address, trust);
    agents.set(address, agent);
    return agent;
  };
}
