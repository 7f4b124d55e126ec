// Runs the program as a fleet of one daemon for a moment and writes the code that this compiled as a
// code cache. It has to run with the flags of the program, for which alone V8 accepts the cache.
const { once } = require('node:events');
const { mkdtempSync, renameSync, rmSync, writeFileSync } = require('node:fs');
const { createServer } = require('node:net');
const { tmpdir } = require('node:os');
const { dirname, join } = require('node:path');
const { loadScript, encodeCache } = require('./load-script.cjs');

const path = join(__dirname, 'router-bundle.cjs');
const cachePath = join(__dirname, 'router-bundle.cache');
const runMs = 1_500;

const listenAnywhere = () =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });

/** Finds free ports; they differ, because all are in use at the same time. */
const findPorts = async (count) => {
  const servers = await Promise.all(Array.from({ length: count }, listenAnywhere));
  const ports = servers.map((server) => server.address().port);
  servers.forEach((server) => server.close());
  await Promise.all(servers.map((server) => once(server, 'close')));
  return ports;
};

const buildSettings = async (folder) => {
  const [callers, readiness, control, peers] = await findPorts(4);
  return {
    ...{ id: 'build', dataCentre: 'build', ip: '127.0.0.1', isFirstStart: true },
    ...{ seeds: [`127.0.0.1:${control}`], peerPorts: [peers, peers] },
    listen: {
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      control: `127.0.0.1:${control}`,
    },
    ...{ dataFolder: join(folder, 'data'), announcePeriodMs: 1_200, graceS: 8 },
    retries: { ratio: 0.2, windowS: 10, extra: 100 },
    coldEndpoints: { multiplier: 1.5, slackPerS: 5 },
  };
};

const run = async () => {
  const folder = mkdtempSync(join(tmpdir(), 'router-build-'));
  try {
    const settingsPath = join(folder, 'settings.json');
    writeFileSync(settingsPath, JSON.stringify(await buildSettings(folder)));
    process.env.VANILLARELAY_CONFIG = settingsPath;
    const { script, source } = loadScript(path, '');
    script.runInThisContext()(module.exports, require, module, path, dirname(path));
    await new Promise((resolve) => {
      setTimeout(resolve, runMs);
    });
    writeFileSync(`${cachePath}.new`, encodeCache(source, script.createCachedData()));
    renameSync(`${cachePath}.new`, cachePath);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
  process.exit(0);
};

void run();
