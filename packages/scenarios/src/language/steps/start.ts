import { toId, type DataCentreId } from '@vanillarelay/core';
import { buildScenarioConfig } from '../build-scenario-config.js';
import type { DaemonPlace } from '../daemon-place.js';
import { sendChange } from '../send-change.js';
import { startNode } from '../start-node.js';
import type { Step } from '../step.js';

const dataCentres = ['lahore', 'faisalabad', 'multan'];
const electionMs = 3_000;
const warmUpMs = 3_000;

/** `start CONTROLS ENTRIES REPORTS NOTICES`: a fleet over three data centres, configured. */
export const start: Step = async (world, args) => {
  const [controls = 3, entries = 2, reports = 0, notices = 3] = args.map(Number);
  const add = (role: DaemonPlace['role'], count: number, service?: DaemonPlace['service']) => {
    for (let index = 0; index < count; index += 1) {
      const dataCentre = toId<DataCentreId>(dataCentres[index % dataCentres.length]!);
      const id = `${service ?? role}-${index}`;
      world.places.set(id, { role, dataCentre, ...(service ? { service } : {}) });
    }
  };
  add('control', controls);
  add('entry', entries);
  add('agent', reports, 'reports');
  add('agent', notices, 'notices');
  const ids = [...world.places.keys()];
  // Control nodes first, so that the other daemons know them all.
  for (const id of ids.slice(0, controls)) await startNode(world, id);
  const { clock } = world.context.virtual;
  await clock.wait(electionMs);
  const config = buildScenarioConfig(dataCentres, world.context.without);
  await sendChange(world, { type: 'applyConfig', expectedVersion: 0, config });
  for (const id of ids.slice(controls)) await startNode(world, id);
  await clock.wait(warmUpMs);
};
