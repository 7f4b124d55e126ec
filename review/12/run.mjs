import { fileURLToPath } from 'node:url';
import {
  createZonedFleet,
  exitCodes,
  runCase,
  sendConfig,
  sendTraffic,
  startReplicas,
  trafficAtMs,
} from '../lib-3/first-start.mjs';
import { wait } from '../lib-3/start-fleet.mjs';

/**
 * At the first start of a fleet, the machine that is the first of the seeds loses its disk after a
 * second, and its process is started again half a second later. The operator sends the first
 * configuration until it is accepted, and clients send requests.
 */
const hasTrouble = process.env.TROUBLE !== '0';
const lossAfterMs = 1_000;
const restartAfterMs = 500;
const trafficMs = 40_000;

await runCase(async () => {
  const recordPath = fileURLToPath(new URL('./record.txt', import.meta.url));
  const fleet = await createZonedFleet({ recordPath });
  const { machines, record, addresses } = fleet;
  try {
    const startedAt = Date.now();
    const endAt = startedAt + trafficAtMs + trafficMs;
    machines.forEach((machine) => fleet.start(machine, true));
    startReplicas(fleet);
    if (hasTrouble) {
      await wait(lossAfterMs);
      await fleet.kill(machines[0]);
      fleet.wipe(machines[0]);
      await wait(restartAfterMs);
      fleet.start(machines[0], false);
    }
    const listControls = () => machines.map(addresses.control);
    const accepted = sendConfig({ record, listControls, endAt });
    await wait(startedAt + trafficAtMs - Date.now());
    const { sent, served } = await sendTraffic({ record, machines, addresses, endAt });
    record(`configuration acknowledged by: ${(await accepted) ?? 'nobody'}`);
    record(`requests sent: ${sent}, served: ${served}`);
    return served === 0 ? exitCodes.broken : exitCodes.held;
  } finally {
    await fleet.close();
  }
});
