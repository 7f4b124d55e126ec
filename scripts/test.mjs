// Runs install, build, format check, lint and tests; the one command of CI.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';

const run = (command, args) => {
  console.log(`> ${command} ${args.join(' ')}`);
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
};

run('npm', ['ci', '--no-audit', '--no-fund']);
run('node_modules/.bin/tsc', ['-b', 'packages']);
run('node_modules/.bin/tsc', ['-p', 'tsconfig.json']);
run('node', ['deploy/build.mjs']);
run('node_modules/.bin/prettier', ['--check', '.']);
run('npm', ['run', '--silent', 'lint']);
run('node_modules/.bin/vitest', ['run']);
if (existsSync('KNOWN-RED.txt')) console.log(readFileSync('KNOWN-RED.txt', 'utf8'));
