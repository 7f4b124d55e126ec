// Runs the measurements, each in its own process, and prints tables. The arguments `overhead`,
// `control`, `log` and `slopes` run another bench instead.
import { spawnSync } from 'node:child_process';
import runMeasures from './bench/run-measures.mjs';

const benches = {
  overhead: ['scripts/bench/overhead.mjs'],
  control: ['scripts/bench/exchange.mjs'],
  log: ['--expose-gc', 'scripts/bench/measure-log.mjs'],
  slopes: ['--expose-gc', 'scripts/bench/slopes.mjs'],
};
const [name, ...rest] = process.argv.slice(2);

if (name !== undefined && name in benches) {
  const { status } = spawnSync(process.execPath, [...benches[name], ...rest], { stdio: 'inherit' });
  process.exit(status ?? 1);
} else if (name === undefined || name === '--quick') {
  await runMeasures({ isQuick: name === '--quick' });
} else {
  console.error(`unknown bench '${name}'; known: --quick, ${Object.keys(benches).join(', ')}`);
  process.exit(2);
}
