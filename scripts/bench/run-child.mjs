import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const script = fileURLToPath(new URL('./measure.mjs', import.meta.url));

/** Runs one measurement in its own process; resolves with its result. */
export default function runChild(options) {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [script, JSON.stringify(options)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let output = '';
    child.stdout.on('data', (chunk) => {
      output += chunk;
    });
    child.once('exit', (status) => {
      if (status === 0) resolve(JSON.parse(output));
      else reject(new Error(`measurement ${JSON.stringify(options)} exited with status ${status}`));
    });
  });
}
