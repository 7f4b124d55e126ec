import { createScenarioEndpoint } from '../create-scenario-endpoint.js';
import { startEndpoint } from '../../fleet/start-endpoint.js';
import { listOthers } from '../list-others.js';
import { startNode } from '../start-node.js';
import type { Step } from '../step.js';

const endpointPrefix = 'endpoint-';

/** `restart ID`: starts a killed or lost process again; an agent finds its endpoint running. */
export const restart: Step = async (world, [id = '']) => {
  if (id.startsWith(endpointPrefix)) {
    const agent = id.slice(endpointPrefix.length);
    startEndpoint(world.context, agent, (process) => createScenarioEndpoint(world, agent, process));
    return;
  }
  listOthers(world, id).forEach((other) => world.context.network.clearCut(id, other));
  await startNode(world, id, false);
};
