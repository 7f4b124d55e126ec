// Replaces one machine with a disk, then takes the disk of another one away; see claim.txt.
import { createWriteStream } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import { call } from '../lib-2/call.mjs';
import { prepareFleet } from '../lib-2/start-fleet.mjs';

const isTrouble = process.env.TROUBLE !== '0';
const replaced = 0;
const lost = 1;
const successor = 6;
/** `CatchUpS` and `ContactMs`, and a second. */
const catchUpMs = 8_000;
/** Time from the end of the replaced machine to the loss of the other one's disk. */
const lossDelayMs = Number(process.env.LOSS_DELAY_MS ?? 1_000);
const restartDelayMs = 900;
/** `RecoverS` and `ContactMs`, in which the operator reads the configuration again and again. */
const readMs = 15_000;

const output = createWriteStream(new URL('record.txt', import.meta.url));
const startedAt = Date.now();
const record = (line) => output.write(`${((Date.now() - startedAt) / 1_000).toFixed(3)} ${line}\n`);

const buildConfig = (version) =>
  JSON.stringify({ Version: version, Routes: [], Services: [{ Name: 'notice-desk' }] });

/** Sends a version to one running daemon after the other; resolves with whether it was acknowledged. */
async function sendConfig({ daemons, ports }, version) {
  const deadline = Date.now() + 20_000;
  for (let tries = 0; Date.now() < deadline; tries += 1) {
    const running = daemons.filter(({ isUp }) => isUp);
    const { ip, id } = running[tries % running.length];
    const body = buildConfig(version);
    const { status } = await call(ip, ports.control, { method: 'PUT', path: '/config', body });
    record(`operator: PUT version ${version} to ${id}: ${status || 'no answer'}`);
    if (status === 200) return id;
    await wait(Math.min(1_000, 100 * (tries + 1)));
  }
  return undefined;
}

/** Reads the configuration back until it comes; resolves with its version, or undefined. */
async function readBack({ daemons, ports }) {
  const deadline = Date.now() + readMs;
  for (let tries = 0; Date.now() < deadline; tries += 1) {
    const running = daemons.filter(({ isUp }) => isUp);
    const { ip, id } = running[tries % running.length];
    const { status, body } = await call(ip, ports.control, { path: '/config' });
    record(`operator: GET /config from ${id}: ${status || 'no answer'}`);
    if (status === 200) return JSON.parse(body).Version;
    await wait(100);
  }
  return undefined;
}

async function run() {
  const fleet = await prepareFleet({ count: 7, hasDisk: (index) => index < 3 || index >= 6 });
  const { daemons } = fleet;
  const start = async (index, isBootstrap) => {
    await fleet.start(daemons[index], isBootstrap);
    daemons[index].isUp = true;
  };
  const end = async (index, signal) => {
    daemons[index].isUp = false;
    await fleet.end(daemons[index], signal);
  };
  try {
    await Promise.all([0, 1, 2, 3, 4, 5].map((index) => start(index, true)));
    await wait(5_000);
    if ((await sendConfig(fleet, 1)) === undefined) return 2;
    if (isTrouble) {
      await start(successor, false);
      record(`${daemons[successor].id} starts with an empty disk`);
      await wait(catchUpMs);
      record(`SIGTERM of ${daemons[replaced].id}, which leaves for good`);
      await end(replaced, 'SIGTERM');
      record(`${daemons[replaced].id} has ended`);
      await wait(lossDelayMs);
    }
    const acknowledged = await sendConfig(fleet, 2);
    if (acknowledged === undefined) return 2;
    if (isTrouble) {
      await end(lost, 'SIGKILL');
      await fleet.wipe(daemons[lost]);
      record(`${daemons[lost].id} loses its disk`);
      await wait(restartDelayMs);
      await start(lost, false);
      record(`${daemons[lost].id} starts again with an empty disk`);
      await wait(catchUpMs);
    }
    const version = await readBack(fleet);
    record(`version 2 was acknowledged by ${acknowledged}; read back: ${version ?? 'nothing'}`);
    return version === 2 ? 0 : 1;
  } finally {
    await fleet.close();
  }
}

run().then(
  (code) => output.end(() => process.exit(code)),
  (error) => {
    record(`could not run: ${error.stack}`);
    output.end(() => process.exit(2));
  },
);
