import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const command = fileURLToPath(new URL('../../packages/cli/bin/vanillarelay.js', import.meta.url));
const killAfterMs = 15_000;

/**
 * Creates a launcher of processes. Its `stop` ends all of them and removes their folder, unless the
 * argument asks to keep it.
 */
export default function createLauncher() {
  const folder = mkdtempSync(join(tmpdir(), 'vanillarelay-'));
  const children = new Map();
  const unexpectedExits = [];
  let isStopping = false;

  const start = (id, args) => {
    const log = openSync(join(folder, `${id}.log`), 'a');
    const child = spawn(process.execPath, [command, ...args], { stdio: ['ignore', log, log] });
    children.set(id, child);
    child.once('exit', (code) => {
      if (!isStopping) unexpectedExits.push(`${id} (exit code ${code})`);
      if (children.get(id) === child) children.delete(id);
    });
    return child;
  };

  const startDaemon = (settings) => {
    const path = join(folder, `${settings.id}.json`);
    writeFileSync(path, JSON.stringify(settings, null, 2));
    if (settings.dataFolder) mkdirSync(settings.dataFolder, { recursive: true });
    return start(settings.id, [settings.role, path]);
  };

  const stop = async (keepFolder = false) => {
    isStopping = true;
    const exits = [...children.values()].map(
      (child) =>
        new Promise((resolve) => {
          const timer = setTimeout(() => child.kill('SIGKILL'), killAfterMs);
          child.once('exit', () => {
            clearTimeout(timer);
            resolve();
          });
          child.kill('SIGTERM');
        }),
    );
    await Promise.all(exits);
    if (!keepFolder) rmSync(folder, { recursive: true, force: true });
  };

  return {
    folder,
    children,
    start,
    startDaemon,
    stop,
    listUnexpectedExits: () => [...unexpectedExits],
  };
}
