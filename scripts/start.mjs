// Installs, builds, runs a local fleet of separate processes and sends sample traffic.
import { spawnSync } from 'node:child_process';

const run = (command, args) => {
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
};

run('npm', ['ci', '--no-audit', '--no-fund', '--silent']);
run('node_modules/.bin/tsc', ['-b', 'packages']);
run(process.execPath, ['scripts/local-fleet/sample.mjs', ...process.argv.slice(2)]);
