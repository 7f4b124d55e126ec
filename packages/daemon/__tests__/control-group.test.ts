import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { ControlSettings } from '@vanillarelay/config';
import { ResultCode, type ChangeId, type Command } from '@vanillarelay/core';
import { openControl, openFileDisk, openRaftPeer, runControl } from '@vanillarelay/daemon';
import { afterEach, expect, it } from 'vitest';

const peerKey = 'test-peer-key-00001';
const operatorKey = 'test-operator-key-00001';
const folders: string[] = [];
const closers: (() => void)[] = [];

afterEach(async () => {
  closers.splice(0).forEach((close) => close());
  await Promise.all(folders.splice(0).map((folder) => rm(folder, { recursive: true })));
});

const createFolder = async () => {
  const folder = await mkdtemp(join(tmpdir(), 'vanillarelay-test-'));
  folders.push(folder);
  return folder;
};

const findAddress = () =>
  new Promise<string>((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });

const baseConfig = { dataCentres: {}, services: {}, accounts: {}, concurrentLoads: 1 };

const buildConfig = (changeId: string, expectedVersion: number): Command => ({
  type: 'applyConfig',
  changeId: changeId as ChangeId,
  operator: 'operator',
  expectedVersion,
  config: baseConfig,
});

const buildSettings = (id: string, address: string, dataFolder: string) => ({
  ...{ role: 'control', id, vm: id, dataCentre: 'lahore', address, logLevel: 'silent' },
  ...{ dataFolder, peerKeys: [peerKey], operatorKeys: [operatorKey] },
});

const openClient = (address: string, key = peerKey) => {
  const client = openControl(address, { key });
  closers.push(client.close);
  return client;
};

/** Proposes to each node in turn until one accepts, because no leader may be elected yet. */
const propose = async (clients: ReturnType<typeof openClient>[], command: Command) => {
  for (let round = 0; round < 200; round += 1) {
    for (const client of clients) {
      const answer = client.propose(command, AbortSignal.timeout(2_000));
      const result = await answer.catch(() => undefined);
      if (result) return result;
    }
    await wait(50);
  }
  throw new Error('no control node accepted the command');
};

/** Runs a control process inside the test; the returned function calls its SIGTERM listeners. */
const startControl = (settings: ControlSettings) => {
  const before = process.listeners('SIGTERM');
  const ended = runControl(settings);
  const stop = async () => {
    const added = process.listeners('SIGTERM').filter((listener) => !before.includes(listener));
    added.forEach((listener) => listener('SIGTERM'));
    await ended;
  };
  return stop;
};

// Guards against consensus that works with fakes only: the test uses real sockets, schemas, keys and
// disks.
it('runs a group of three over sockets and keeps its state when all nodes restart', async () => {
  const folder = await createFolder();
  const addresses = await Promise.all([findAddress(), findAddress(), findAddress()]);
  const [address = ''] = addresses;
  const group = addresses.map((one, index) => ({ id: `control-${index}`, address: one }));
  const startAll = async () => {
    const stops = group.map((node) => {
      const settings = buildSettings(node.id, node.address, join(folder, node.id));
      return startControl(ControlSettings.parse({ ...settings, group }));
    });
    await wait(200);
    return { stops, clients: addresses.map((one) => openClient(one)) };
  };
  const first = await startAll();
  for (let version = 0; version < 20; version += 1) {
    const result = await propose(first.clients, buildConfig(`change-${version}`, version));
    expect(result).toMatchObject({ ok: true });
  }
  const signal = AbortSignal.timeout(20_000);
  const malformed = { type: 'claim' } as unknown as Command;
  await expect(first.clients[0]?.propose(malformed, signal)).rejects.toMatchObject({
    code: ResultCode.malformedMessage,
    notRun: true,
  });
  const permitCommand = { type: 'releasePermit', endpoint: 'e' } as Command;
  await expect(
    openClient(address, operatorKey).propose(permitCommand, signal),
  ).rejects.toMatchObject({
    code: ResultCode.strangerRefused,
    notRun: true,
  });
  const operatorPeer = openRaftPeer(address, { key: operatorKey });
  closers.push(operatorPeer.close);
  await expect(operatorPeer.readSender(signal)).rejects.toThrow('FORBIDDEN');
  for (const stop of first.stops) await stop();
  const second = await startAll();
  const resent = await propose(second.clients, buildConfig('change-7', 7));
  expect(resent).toMatchObject({ ok: true, value: { configVersion: 8 } });
  expect(await propose(second.clients, buildConfig('next', 20))).toMatchObject({ ok: true });
  for (const stop of second.stops) await stop();
});

// Guards against a control process that runs without a durable log.
it('rejects with a result code when its disk cannot be used', async () => {
  const folder = await createFolder();
  const address = await findAddress();
  await writeFile(join(folder, 'file'), '');
  const settings = buildSettings('control-0', address, join(folder, 'file'));
  const group = [{ id: 'control-0', address }];
  await expect(runControl(ControlSettings.parse({ ...settings, group }))).rejects.toMatchObject({
    code: ResultCode.storageFailed,
  });
});

// Guards against a process that keeps running after its disk has failed.
it('rejects with a result code when its disk fails later', async () => {
  const folder = await createFolder();
  const dataFolder = join(folder, 'data');
  const address = await findAddress();
  const group = [{ id: 'control-0', address }];
  const settings = buildSettings('control-0', address, dataFolder);
  const ended = runControl(ControlSettings.parse({ ...settings, group }));
  ended.catch(() => {});
  await wait(200);
  const client = openClient(address);
  expect(await propose([client], buildConfig('first', 0))).toMatchObject({ ok: true });
  // The next snapshot cannot be written; entries of 1 MiB trigger it.
  await rm(dataFolder, { recursive: true });
  const region = { region: 'x'.repeat(1024 * 1024) };
  for (let version = 1; version < 8; version += 1) {
    const change = buildConfig(`large-${version}`, version);
    const command = { ...change, config: { ...baseConfig, dataCentres: { lahore: region } } };
    const signal = AbortSignal.timeout(2_000);
    await client.propose(command as unknown as Command, signal).catch(() => undefined);
  }
  await expect(ended).rejects.toMatchObject({ code: ResultCode.storageFailed });
});

// Guards against operations of the real disk that behave differently from those of the fake one.
it('reads back what it wrote, appended, truncated and renamed', async () => {
  const disk = await openFileDisk(await createFolder());
  const readText = async (name: string) => Buffer.from((await disk.read(name)) ?? []).toString();
  expect(await disk.read('log')).toBeUndefined();
  await disk.append('log', Buffer.from('abc'));
  await disk.append('log', Buffer.from('def'));
  await disk.sync('log');
  await disk.truncate('log', 4);
  await disk.append('log', Buffer.from('x'));
  await disk.write('log.new', Buffer.from('long content'));
  await disk.write('log.new', Buffer.from('new'));
  expect([await readText('log'), await readText('log.new')]).toEqual(['abcdx', 'new']);
  await disk.rename('log.new', 'log');
  await disk.syncFolder();
  await disk.append('log', Buffer.from('er'));
  expect([await readText('log'), await disk.list()]).toEqual(['newer', ['log']]);
  await disk.remove('log');
  expect(await disk.list()).toEqual([]);
  await expect(disk.read('../log')).rejects.toThrow('invalid file name');
});
