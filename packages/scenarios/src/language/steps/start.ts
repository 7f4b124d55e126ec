import { toId, type DataCentreId } from '@vanillarelay/core';
import { buildScenarioConfig } from '../build-scenario-config.js';
import type { ProcessSpec } from '../process-spec.js';
import { sendChange } from '../send-change.js';
import { startProcess } from '../start-process.js';
import type { Step } from '../step.js';

const dataCentres = ['lahore', 'faisalabad', 'multan'];
const electionMs = 3_000;
const warmUpMs = 3_000;

/**
 * `start CONTROLS ENTRIES REPORTS NOTICES`: starts that many control nodes, entries and agents of
 * the two services, spread over three data centres, and applies the configuration.
 */
export const start: Step = async (world, args) => {
  const [controls = 3, entries = 2, reports = 0, notices = 3] = args.map(Number);
  const addProcesses = (
    role: ProcessSpec['role'],
    count: number,
    service?: ProcessSpec['service'],
  ) => {
    for (let index = 0; index < count; index += 1) {
      const dataCentre = toId<DataCentreId>(dataCentres[index % dataCentres.length]!);
      const id = `${service ?? role}-${index}`;
      world.processSpecs.set(id, { role, dataCentre, ...(service ? { service } : {}) });
    }
  };
  addProcesses('control', controls);
  addProcesses('entry', entries);
  addProcesses('agent', reports, 'reports');
  addProcesses('agent', notices, 'notices');
  const ids = [...world.processSpecs.keys()];
  // Control nodes start first because the other daemons read the list of them at their start.
  for (const id of ids.slice(0, controls)) await startProcess(world, id);
  const { clock } = world.context.virtual;
  await clock.wait(electionMs);
  const config = buildScenarioConfig(dataCentres, world.context.without);
  await sendChange(world, { type: 'applyConfig', expectedVersion: 0, config });
  for (const id of ids.slice(controls)) await startProcess(world, id);
  await clock.wait(warmUpMs);
};
