import { spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { renderTemplate } from './render-template.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
const replicaProgram = fileURLToPath(new URL('./replica.mjs', import.meta.url));

export const wait = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Bounds of the page's small deployments, as their sheets give them. */
const bounds = {
  ...{ SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000 },
  ...{ GraceS: 8, LossSlackMs: 200, ConfigMs: 2000, RollbackSlackMs: 250, OuterMs: 5000 },
  ...{ StrictRevoke: false, RevokeMs: 5000, RetryBudget: 0.2, BudgetWindowS: 10 },
  ...{ BudgetExtra: 128, ColdMultiplier: 1.5, ColdSlack: 5, EvacuateMs: 5000, RecoverS: 12 },
  ...{ PassMs: 120, ReuseWindowS: 10, CapFactor: 2 },
};

const contracts = [
  ...['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants'],
  'places',
];

/** Whether all of these ports are free at all of these addresses. */
async function areFree(hosts, ports) {
  for (const host of hosts) {
    for (const port of ports) {
      const server = createServer();
      const isFree = await new Promise((resolve) => {
        server.once('error', () => resolve(false));
        server.listen(port, host, () => resolve(true));
      });
      if (!isFree) return false;
      server.close();
      await once(server, 'close');
    }
  }
  return true;
}

/**
 * Creates a small fleet of router daemons at loopback addresses of their own, with the commands and
 * the settings template of the deploy file. Nothing is started yet. `nodes` lists the machines with
 * `name`, `zone` and whether they have a disk.
 */
export async function createFleet({ nodes, recordPath }) {
  const startedAt = Date.now();
  writeFileSync(recordPath, '');
  const record = (text) => {
    appendFileSync(recordPath, `${((Date.now() - startedAt) / 1_000).toFixed(3)} s  ${text}\n`);
  };
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const net = `127.${20 + (process.pid % 200)}.${1 + Math.floor(Math.random() * 250)}`;
  const machines = nodes.map((node, index) => ({ ...node, ip: `${net}.${10 + index}` }));
  let base = 20_000 + Math.floor(Math.random() * 20_000);
  const hosts = machines.map(({ ip }) => ip);
  const listPorts = () => [base, base + 1, base + 2, base + 3, 9464];
  while (!(await areFree(hosts, listPorts()))) base += 10;
  const [front, ready, control, peers] = listPorts();
  const seeds = machines
    .filter(({ hasDisk }) => hasDisk)
    .slice(0, 3)
    .map(({ ip }) => `${ip}:${control}`);
  const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  const template = readFileSync(join(root, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8');
  const zones = Object.fromEntries(machines.map(({ zone }) => [zone, 'region']));
  const children = new Set();
  // Nothing is left running if this process ends early.
  process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));
  process.once('SIGTERM', () => process.exit(2));
  process.once('SIGINT', () => process.exit(2));

  const writeSettings = (machine, isFirstStart) => {
    const dataFolder = join(folder, machine.name, 'data');
    if (machine.hasDisk) mkdirSync(dataFolder, { recursive: true });
    else mkdirSync(join(folder, machine.name), { recursive: true });
    const path = join(folder, machine.name, 'settings.json');
    const rendered = renderTemplate(template, {
      ...{ NodeName: machine.name, Role: 'router', MachineClass: 'edge', Ip: machine.ip },
      ...{ Serves: ['edge', 'control_plane'], Zone: machine.zone, Region: 'region' },
      ...{ InternalPorts: [peers, peers + 15], Seeds: machine.seeds ?? seeds, Zones: zones },
      ...{ Bootstrap: isFirstStart, CountsTowardLoss: Boolean(machine.hasDisk) },
      ...{ DataDir: machine.hasDisk ? dataFolder : '', Discovery: 'registration', Entry: 'vip' },
      ...{ HeartbeatMs: 1200, Contracts: contracts, ConfigMode: 'highest', Bounds: bounds },
      Listen: {
        Front: `${machine.ip}:${front}`,
        Ready: `${machine.ip}:${ready}`,
        Control: `${machine.ip}:${control}`,
      },
      Limits: {
        CpuShare: 0.608,
        Cores: 2,
        MemoryMb: 350,
        MaxFds: 4100,
        LinkMbps: 1000,
        DiskMb: 64,
      },
      FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 },
    });
    const settings = JSON.parse(rendered);
    // The optional setting for a proxy that stands at the address of the calls between daemons.
    if (machine.peersPort) settings.listen.peers = `${machine.ip}:${machine.peersPort}`;
    writeFileSync(path, JSON.stringify(settings, undefined, 2));
    return path;
  };

  const watch = (child, name) => {
    children.add(child);
    child.once('exit', (code, signal) => {
      children.delete(child);
      record(`${name} has ended (${signal ?? `code ${code}`})`);
    });
    return child;
  };

  const start = (machine, isFirstStart) => {
    const path = writeSettings(machine, isFirstStart);
    const log = join(folder, machine.name, 'log');
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, VANILLARELAY_CONFIG: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.on('data', (bytes) => appendFileSync(log, bytes));
    child.stderr.on('data', (bytes) => appendFileSync(log, bytes));
    machine.child = watch(child, machine.name);
    record(`${machine.name} is started at ${machine.ip}, Bootstrap = ${isFirstStart}`);
  };

  /** Ends a process of a machine at once; resolves when it has ended. */
  const kill = async (machine) => {
    const ended = once(machine.child, 'exit');
    machine.child.kill('SIGKILL');
    record(`${machine.name} gets SIGKILL`);
    await ended;
  };

  /** Removes what is on the disk of a machine whose process has ended. */
  const wipe = (machine) => {
    rmSync(join(folder, machine.name, 'data'), { recursive: true, force: true });
    record(`${machine.name} has lost its disk`);
  };

  /** Name of the daemon that was elected last, by the logs of the daemons. */
  const findLeader = () => {
    const elected = machines.flatMap(({ name }) =>
      readFileSync(join(folder, name, 'log'), 'utf8')
        .split('\n')
        .filter((line) => line.includes('"event":"raft.elected"'))
        .map((line) => ({ name, time: JSON.parse(line).time })),
    );
    return elected.sort((a, b) => a.time - b.time).at(-1)?.name;
  };

  /** Starts a replica as a process of its own. */
  const startReplica = (options) => {
    const child = watch(
      spawn(process.execPath, [replicaProgram, JSON.stringify(options)], {
        stdio: ['pipe', 'pipe', 'inherit'],
      }),
      `replica ${options.id}`,
    );
    child.stdout.on('data', (bytes) =>
      bytes
        .toString()
        .split('\n')
        .filter(Boolean)
        .forEach((line) => record(`replica ${options.id}: ${line}`)),
    );
    return child;
  };

  return {
    ...{ machines, record, start, kill, wipe, findLeader, startReplica, folder, net },
    ports: { control, peers },
    addresses: {
      front: ({ ip }) => `${ip}:${front}`,
      ready: ({ ip }) => `${ip}:${ready}`,
      control: ({ ip }) => `${ip}:${control}`,
    },
    /** Ends all processes that were started, and removes their files. */
    close: async () => {
      const ends = [...children].map((child) => once(child, 'exit'));
      children.forEach((child) => child.kill('SIGKILL'));
      await Promise.all(ends);
      if (!process.env.KEEP) rmSync(folder, { recursive: true, force: true });
      else console.log(folder);
    },
  };
}
