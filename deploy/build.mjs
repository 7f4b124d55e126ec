// Bundles the router program into one file, so that little has to be read and compiled at start-up,
// and makes a code cache for it.
import { spawnSync } from 'node:child_process';
import { copyFileSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { build } from 'esbuild';

const target = 'target';
const unusedFolder = resolve('deploy/unused');

/**
 * Modules that packages load at their start and that this program never uses. The log writer of the
 * histograms alone creates a number format, for which ICU loads its data.
 */
const unusedModules = [
  { importer: /hdr-histogram-js/, path: /^\.\/(HistogramLog(Reader|Writer)|encoding|wasm)$/ },
  { importer: /pino/, path: /^thread-stream$/ },
  { importer: /pino/, path: /^worker_threads$/, stub: 'worker-threads.cjs' },
];

const leaveOutUnused = {
  name: 'leave-out-unused',
  setup: ({ onResolve }) => {
    unusedModules.forEach(({ importer, path, stub = 'empty.cjs' }) =>
      onResolve({ filter: path }, (found) =>
        importer.test(found.importer) ? { path: join(unusedFolder, stub) } : undefined,
      ),
    );
  },
};

/** The flags with which the program is run; V8 accepts a code cache only with the same ones. */
const readFlags = () => {
  const line = /^run = "node (.*) target\/router\.cjs"$/m.exec(
    readFileSync('deploy/system.toml', 'utf8'),
  );
  if (!line) throw new Error('deploy/system.toml: no run line with target/router.cjs');
  return line[1].split(' ');
};

// A cache of an earlier build must not stand beside another bundle.
rmSync(`${target}/router-bundle.cache`, { force: true });

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: `${target}/router-bundle.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Resolves the packages to their sources, so that they need not be compiled first.
  alias: Object.fromEntries(
    readdirSync('packages', { withFileTypes: true })
      .filter((entry) => entry.isDirectory())
      .map(({ name }) => [`@vanillarelay/${name}`, `./packages/${name}/src/index.ts`]),
  ),
  plugins: [leaveOutUnused],
  // Node's wrapper of a CommonJS module, so that the text need not be copied into one at the start.
  banner: { js: '(function (exports, require, module, __filename, __dirname) {' },
  footer: { js: '})' },
});
['router.cjs', 'load-script.cjs', 'write-cache.cjs'].forEach((file) =>
  copyFileSync(`deploy/start/${file}`, `${target}/${file}`),
);
writeFileSync(`${target}/router.mjs`, "import './router.cjs';\n");

const { status, stderr } = spawnSync(
  process.execPath,
  [...readFlags(), `${target}/write-cache.cjs`],
  { stdio: ['ignore', 'ignore', 'pipe'] },
);
// Without the cache the program starts as well, only later.
if (status !== 0) process.stderr.write(`no code cache was made: ${stderr}\n`);
