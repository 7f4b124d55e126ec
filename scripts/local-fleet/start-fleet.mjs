import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { openOperator } from '@vanillarelay/daemon';
import createByteCounter from './create-byte-counter.mjs';

const readyTimeoutMs = 20_000;
const pollMs = 100;
/** Offset from a control node's port to the port of its byte counter. */
const counterPortOffset = 10;

const waitUntil = async (name, check) => {
  for (let waitedMs = 0; waitedMs < readyTimeoutMs; waitedMs += pollMs) {
    if (await check().catch(() => false)) return;
    await wait(pollMs);
  }
  throw new Error(`${name} was not ready within ${readyTimeoutMs} ms`);
};

const addToPort = (address, offset) => {
  const [host, port] = address.split(':');
  return `${host}:${Number(port) + offset}`;
};

/** Starts an example's stand-ins, control nodes, agents and entries, and applies its configuration. */
export default async function startFleet(launcher, example, controlNodeCount) {
  const controls = example.controls.slice(0, controlNodeCount);
  const group = controls.map(({ id, address }) => ({ id, address }));
  controls.forEach((settings) =>
    launcher.startDaemon({
      ...settings,
      group,
      dataFolder: join(launcher.folder, settings.id),
    }),
  );
  example.agents.forEach(({ id, service, endpointAddress, slots }) => {
    const isModel = example.config.services[service].type === 'model';
    const kind = isModel ? 'fake-engine' : 'fake-service';
    const options = isModel ? { startsCold: true, batchSize: slots } : {};
    const args = [kind, endpointAddress, '--options', JSON.stringify(options)];
    launcher.start(`endpoint-of-${id}`, args);
  });
  const countedControls = group.map(({ id, address }) => ({
    id,
    address: addToPort(address, counterPortOffset),
  }));
  const counters = await Promise.all(
    group.map(({ address }) => createByteCounter(addToPort(address, counterPortOffset), address)),
  );
  [...example.agents, ...example.entries].forEach((settings) =>
    launcher.startDaemon({ ...settings, control: countedControls }),
  );

  const operator = openOperator({
    operatorKey: example.operator.operatorKey,
    control: group.map(({ address }) => address),
  });
  await waitUntil('control', async () => Boolean(await operator.readState()));
  const applied = await operator.propose({
    type: 'applyConfig',
    changeId: 'local-fleet',
    operator: example.operator.operator,
    expectedVersion: 0,
    config: example.config,
  });
  if (!applied.ok) throw new Error(`configuration refused: ${applied.message}`);
  for (const { address } of example.entries) {
    await waitUntil(`entry ${address}`, async () => {
      const answer = await fetch(`http://${address}/health/ready`);
      return answer.ok;
    });
  }
  await waitUntil('endpoints', async () => {
    const endpoints = await operator.listEndpoints();
    return endpoints.length === example.agents.length;
  });
  return {
    operator,
    /** Number of daemons whose control traffic is counted. */
    daemons: example.agents.length + example.entries.length,
    readControlBytes: () => counters.reduce((sum, { readBytes }) => sum + readBytes(), 0),
    close: () => {
      operator.close();
      counters.forEach((counter) => counter.close());
    },
  };
}
