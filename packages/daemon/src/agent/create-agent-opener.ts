import type { AgentClient } from '@vanillarelay/core';
import type { Trust } from '../trust/trust.js';
import { openAgent } from './open-agent.js';

/** Makes a function that opens agents by address, each of them once. */
export function createAgentOpener({ key, tls }: Trust): (address: string) => AgentClient {
  const agents = new Map<string, AgentClient>();
  return (address) => {
    const agent = agents.get(address) ?? openAgent(address, key, tls);
    agents.set(address, agent);
    return agent;
  };
}
