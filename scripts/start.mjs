// Installs, builds, runs a local fleet of separate processes and sends sample traffic.
import { spawn } from 'node:child_process';

// Ctrl-C also reaches the sample, which stops its processes; this process waits for its exit.
process.on('SIGINT', () => {});

const run = async (command, args) => {
  const child = spawn(command, args, { stdio: 'inherit' });
  const status = await new Promise((resolve) => {
    child.once('exit', resolve);
  });
  if (status !== 0) process.exit(status ?? 1);
};

await run('npm', ['ci', '--no-audit', '--no-fund', '--silent']);
await run('node_modules/.bin/tsc', ['-b', 'packages']);
await run(process.execPath, ['scripts/local-fleet/sample.mjs', ...process.argv.slice(2)]);
