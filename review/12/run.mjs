import { fileURLToPath } from 'node:url';
import { call } from '../lib-3/call.mjs';
import {
  createZonedFleet,
  exitCodes,
  firstConfig,
  runCase,
  sendConfig,
  startReplicas,
  trafficAtMs,
} from '../lib-3/first-start.mjs';
import { wait } from '../lib-3/start-fleet.mjs';

/**
 * A machine of the core is replaced: the empty one starts first, and 9 s later the old one, which
 * leads the control group, is gone for good. A second after that another machine of the core
 * loses its disk and starts again. Then the operator reads the configuration.
 */
const hasTrouble = process.env.TROUBLE !== '0';
/** Time from the start of the successor to the end of the old machine; `CatchUpS` is 4. */
const successorMs = 9_000;
/** Time from the end of the old machine to the loss of the disk. */
const lossDelayMs = Number(process.env.LOSS_DELAY_MS ?? 1_000);
const downMs = 500;
/** Time after which all rules are kept again, from when the machine is back. */
const recoverMs = 12_000;
const readMs = 15_000;

await runCase(async () => {
  const recordPath = fileURLToPath(new URL('./record.txt', import.meta.url));
  const fleet = await createZonedFleet({ recordPath });
  const { record, addresses } = fleet;
  let { machines } = fleet;
  const listControls = () => machines.map(addresses.control);
  try {
    const startedAt = Date.now();
    machines.forEach((machine) => fleet.start(machine, true));
    startReplicas(fleet);
    const endAt = startedAt + trafficAtMs;
    if (!(await sendConfig({ record, listControls, endAt }))) return exitCodes.notRun;
    await wait(startedAt + trafficAtMs - Date.now());
    const core = machines.filter(({ hasDisk }) => hasDisk);
    const old = core.find((machine) => machine.name === fleet.findLeader());
    if (!old) return exitCodes.notRun;
    record(`${old.name} leads the control group`);
    const successor = { ...old, name: `${old.name}-new`, ip: `${fleet.net}.30` };
    if (hasTrouble) {
      fleet.start(successor, false);
      machines = [...machines, successor];
      await wait(successorMs);
    }
    const config = JSON.stringify({ ...JSON.parse(firstConfig), Version: 9 });
    const secondEndAt = Date.now() + 10_000;
    if (!(await sendConfig({ record, listControls, config, endAt: secondEndAt })))
      return exitCodes.notRun;
    if (hasTrouble) {
      const [other] = core.filter((machine) => machine !== old);
      await fleet.kill(old);
      machines = machines.filter((machine) => machine !== old);
      record(`${old.name} is gone for good; it was replaced by ${successor.name}`);
      await wait(lossDelayMs);
      await fleet.kill(other);
      fleet.wipe(other);
      await wait(downMs);
      fleet.start(other, false);
    }
    await wait(recoverMs);
    let isRead = false;
    const readUntil = Date.now() + readMs;
    for (let tries = 0; !isRead && Date.now() < readUntil; tries += 1) {
      const controls = listControls();
      const address = controls[tries % controls.length];
      const answer = await call({ address, method: 'GET', path: '/config' });
      record(`operator sends GET /config to ${address}: ${answer.status || answer.reason}`);
      isRead = answer.status === 200 && JSON.parse(answer.body).Version >= 9;
      await wait(200);
    }
    const next = JSON.stringify({ ...JSON.parse(firstConfig), Version: 14 });
    const last = Date.now() + 5_000;
    const next14 = await sendConfig({ record, listControls, config: next, endAt: last });
    record(`version 9 was acknowledged; read back: ${isRead}`);
    record(`version 14 acknowledged by: ${next14 ?? 'nobody'}`);
    return isRead ? exitCodes.held : exitCodes.broken;
  } finally {
    await fleet.close();
  }
});
