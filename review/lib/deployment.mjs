// Starts the programs of the deploy file as a small deployment on loopback addresses.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { renderTemplate } from './render-template.mjs';
import { sendCall } from './send-call.mjs';
import { wait } from './wait.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));
const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
const readDeployField = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(deploy)?.[1] ?? '';
const [command, ...args] = readDeployField('run').split(' ');
const template = readFileSync(join(root, readDeployField('template')), 'utf8');
const metricsPort = Number(readDeployField('metrics').split('/')[0]);

/** Bounds of the small sites, as the sheets of the users' pages give them. */
export const bounds = {
  ...{ SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000 },
  ...{ GraceS: 8, LossSlackMs: 200, ConfigMs: 2000, RollbackSlackMs: 250, OuterMs: 5000 },
  ...{ StrictRevoke: false, RevokeMs: 5000, RetryBudget: 0.2, BudgetWindowS: 10 },
  ...{ BudgetExtra: 128, ColdMultiplier: 1.5, ColdSlack: 5, EvacuateMs: 5000, RecoverS: 12 },
  ...{ PassMs: 120, ReuseWindowS: 10, CapFactor: 2 },
};
export const heartbeatMs = 1200;
const readyPollMs = 50;
const readyTimeoutMs = 25_000;
const restartDelayMs = 500;

async function canListen(host, port) {
  const server = createServer();
  try {
    server.listen(port, host);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** Finds ports that are free on every address, since ports are the same on all machines. */
async function findPorts(ips, count) {
  const ports = [];
  for (let port = 21_000 + Math.floor(Math.random() * 8_000); ports.length < count; port += 1) {
    const free = await Promise.all(ips.map((ip) => canListen(ip, port)));
    if (free.every(Boolean)) ports.push(port);
  }
  return ports;
}

/**
 * Creates a deployment. `machines` lists `{ name, zone, hasDisk }`; each one runs one router. The
 * platform's part is played here: settings files, start, stop, and restart after an exit.
 */
export async function createDeployment({ machines, log, settings = {} }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const zones = [...new Set(machines.map(({ zone }) => zone))];
  const chooseNodes = () => {
    const net = 20 + Math.floor(Math.random() * 180);
    return machines.map((machine, index) => ({
      ...machine,
      ip: `127.${net + zones.indexOf(machine.zone)}.0.${index + 1}`,
    }));
  };
  const isUsable = async ({ ip }) => canListen(ip, metricsPort);
  let nodes = chooseNodes();
  while (!(await Promise.all(nodes.map(isUsable))).every(Boolean)) nodes = chooseNodes();
  const ips = nodes.map(({ ip }) => ip);
  const [front, ready, control] = await findPorts(ips, 3);
  const [peers] = await findPorts(ips, 1);
  const children = new Map();
  const seeds = nodes
    .filter(({ hasDisk }) => hasDisk)
    .slice(0, 3)
    .map(({ ip }) => `${ip}:${control}`);

  const start = ({ name, zone, hasDisk, ip }, isBootstrap = false) => {
    const dataDir = join(folder, name);
    if (hasDisk) mkdirSync(dataDir, { recursive: true });
    const fields = {
      ...{ NodeName: name, Role: 'router', MachineClass: 'edge', Ip: ip, Zone: zone },
      ...{ Region: 'region', InternalPorts: [peers, peers + 15], Seeds: seeds },
      ...{ Bootstrap: isBootstrap, DataDir: hasDisk ? dataDir : '', HeartbeatMs: heartbeatMs },
      Listen: { Front: `${ip}:${front}`, Ready: `${ip}:${ready}`, Control: `${ip}:${control}` },
      Bounds: { ...bounds, ...settings },
    };
    const path = join(folder, `${name}.json`);
    writeFileSync(path, renderTemplate(template, fields));
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, args, {
      cwd: root,
      env: { PATH, HOME, LANG, VANILLARELAY_CONFIG: path },
      stdio: ['ignore', process.env.REVIEW_LOG ? 'pipe' : 'ignore', 'pipe'],
    });
    child.stdout?.on('data', (bytes) => {
      writeFileSync(`${process.env.REVIEW_LOG}.${name}`, bytes, { flag: 'a' });
    });
    child.stderr.on('data', (bytes) => log('stderr', { machine: name, text: String(bytes) }));
    children.set(name, child);
    log('started', { machine: name });
  };

  const isRunning = (name) => {
    const child = children.get(name);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  };

  const isReady = async ({ ip }) => {
    const reply = await sendCall({ address: `${ip}:${ready}`, path: '/ready', timeoutMs: 500 });
    return reply.status === 200;
  };

  process.once('exit', () => {
    children.forEach((child) => child.kill('SIGKILL'));
    rmSync(folder, { recursive: true, force: true });
  });

  return {
    nodes,
    fronts: nodes.map(({ ip }) => `${ip}:${front}`),
    controls: nodes.map(({ ip }) => `${ip}:${control}`),
    isReady,
    isRunning,
    readPid: (name) => children.get(name).pid,
    /** First start of all machines, with empty disks. */
    startAll: async () => nodes.forEach((node) => start(node, true)),
    waitUntilReady: async (which = nodes) => {
      const deadline = performance.now() + readyTimeoutMs;
      for (;;) {
        const states = await Promise.all(which.map(isReady));
        if (states.every(Boolean)) return;
        if (performance.now() > deadline) throw new Error('not every machine became ready');
        await wait(readyPollMs);
      }
    },
    /** Sends a signal that the process survives. */
    signal: (name, signal) => {
      log('signal', { machine: name, signal });
      children.get(name).kill(signal);
    },
    /** Ends a process by a signal; the platform starts it again after a short delay. */
    restart: async (name, signal) => {
      const child = children.get(name);
      const ended = once(child, 'exit');
      log('signal', { machine: name, signal });
      child.kill(signal);
      // The platform kills a process that outlives its grace period.
      const timer = setTimeout(() => child.kill('SIGKILL'), bounds.GraceS * 1000);
      await ended;
      clearTimeout(timer);
      log('ended', { machine: name, code: child.exitCode, signal: child.signalCode });
      await wait(restartDelayMs);
      start(nodes.find((node) => node.name === name));
    },
    stop: async () => {
      const running = [...children.values()].filter(
        ({ exitCode, signalCode }) => exitCode === null && signalCode === null,
      );
      const ends = running.map((child) => once(child, 'exit'));
      running.forEach((child) => child.kill('SIGKILL'));
      await Promise.all(ends);
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
