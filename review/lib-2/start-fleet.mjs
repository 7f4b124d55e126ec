import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { renderTemplate } from './render-template.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));
const zones = ['lahore', 'faisalabad', 'multan'];
const portCount = 8;

/** Bounds of the Qureshi deployment. */
const bounds = {
  GraceS: 8,
  RetryBudget: 0.2,
  BudgetWindowS: 10,
  BudgetExtra: 128,
  ColdMultiplier: 1.5,
  ColdSlack: 5,
};
const contracts = 'base,drain,config,cost,retry,recover,engine,stream,tenants,places';

/** Finds the first of some free ports in a row on every address of the fleet. */
async function findPorts(addresses) {
  for (let first = 21_000 + (process.pid % 400) * 20; first < 60_000; first += portCount) {
    const ports = Array.from({ length: portCount }, (_, index) => first + index);
    const servers = await Promise.all(
      addresses.flatMap((address) =>
        ports.map(async (port) => {
          const server = createServer().listen(port, address);
          const isFree = await Promise.race([
            once(server, 'listening').then(() => true),
            once(server, 'error').then(() => false),
          ]).catch(() => false);
          return { server, isFree };
        }),
      ),
    );
    await Promise.all(
      servers.map(async ({ server, isFree }) => {
        if (!isFree) return;
        server.close();
        await once(server, 'close');
      }),
    );
    if (servers.every(({ isFree }) => isFree)) return first;
  }
  throw new Error('no free ports');
}

/** Reads the words of the router's `run` line and its template from the deploy file. */
async function readDeployFile() {
  const text = await readFile(join(root, 'deploy/system.toml'), 'utf8');
  const read = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
  const template = await readFile(join(root, read('template')), 'utf8');
  return { words: read('run').split(' '), template };
}

/**
 * Prepares router daemons on loopback addresses, one machine each; `hasDisk` says by the index which
 * of them have a disk. Nothing is started before `start`.
 */
export async function prepareFleet({ count, hasDisk }) {
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const { words, template } = await readDeployFile();
  const addresses = Array.from({ length: count }, (_, index) => `127.0.7.${10 + index}`);
  const firstPort = await findPorts(addresses);
  const ports = { front: firstPort, ready: firstPort + 1, control: firstPort + 2 };
  const internal = [firstPort + 3, firstPort + 6];
  const seeds = addresses.slice(0, 3).map((address) => `${address}:${ports.control}`);
  const daemons = addresses.map((ip, index) => ({
    ip,
    id: `edge-${zones[index % 3]}-${Math.floor(index / 3) + 1}`,
    zone: zones[index % 3],
    dataDir: hasDisk(index) ? join(folder, `data-${index}`) : '',
    child: undefined,
  }));
  /** Starts the process of one daemon; `isBootstrap` is the field `Bootstrap` of its settings. */
  const start = async (daemon, isBootstrap) => {
    const { id, ip, zone, dataDir } = daemon;
    const settings = renderTemplate(template, {
      ...{ NodeName: id, Zone: zone, Bootstrap: isBootstrap, Seeds: seeds, Ip: ip },
      ...{ InternalPorts: internal, DataDir: dataDir, Contracts: contracts, HeartbeatMs: 1_200 },
      Listen: {
        Front: `${ip}:${ports.front}`,
        Ready: `${ip}:${ports.ready}`,
        Control: `${ip}:${ports.control}`,
      },
      ...{ Limits: { MemoryMb: 350 }, Bounds: bounds },
    }).replace(`${ip}:9464`, `${ip}:${firstPort + 7}`);
    const settingsPath = join(folder, `${id}.json`);
    await writeFile(settingsPath, settings);
    if (dataDir) await mkdir(dataDir, { recursive: true });
    daemon.child = spawn(process.execPath, words.slice(1), {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, VANILLARELAY_CONFIG: settingsPath },
      stdio: 'ignore',
    });
  };
  /** Sends a signal that ends the process of one daemon; resolves when it has ended. */
  const end = async ({ child }, signal = 'SIGKILL') => {
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, 'exit');
    child.kill(signal);
    await ended;
  };
  /** Removes what a daemon has on its disk. */
  const wipe = ({ dataDir }) => rm(dataDir, { recursive: true, force: true });
  const close = async () => {
    await Promise.all(daemons.map((daemon) => end(daemon)));
    await rm(folder, { recursive: true, force: true });
  };
  return { daemons, ports, replicaPort: firstPort + 4, start, end, wipe, close };
}
