import { createScenarioEndpoint } from '../create-scenario-endpoint.js';
import { startEndpoint } from '../../fleet/start-endpoint.js';
import { listOthers } from '../list-others.js';
import { startProcess } from '../start-process.js';
import type { Step } from '../step.js';

const endpointPrefix = 'endpoint-';

/**
 * `restart ID`: restarts a killed or lost process and restores its connections; the endpoint of an
 * agent is restarted only by `restart endpoint-ID`.
 */
export const restart: Step = async (world, [id = '']) => {
  if (id.startsWith(endpointPrefix)) {
    const agent = id.slice(endpointPrefix.length);
    startEndpoint(world.context, agent, (process) => createScenarioEndpoint(world, agent, process));
    return;
  }
  listOthers(world, id).forEach((other) => world.context.network.clearCut(id, other));
  await startProcess(world, id, false);
};
