import { fileURLToPath } from 'node:url';
import { createRecord } from './record.mjs';

const limitMs = 115_000;
const codes = { held: 0, broken: 1, notRun: 2 };

/**
 * Runs a case: `play(log, hasTrouble)` returns whether the rule was broken, and what was counted.
 * The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
export async function runCase(caseUrl, play) {
  const log = createRecord(fileURLToPath(new URL('record.txt', caseUrl)));
  const hasTrouble = process.env.TROUBLE !== '0';
  const finish = (result, details) => {
    log('result', { result, hasTrouble, ...details });
    console.log(JSON.stringify({ result, hasTrouble, ...details }));
    process.exit(codes[result]);
  };
  setTimeout(() => finish('notRun', { reason: 'out of time' }), limitMs).unref();
  process.once('SIGTERM', () => finish('notRun', { reason: 'stopped' }));
  process.once('SIGINT', () => finish('notRun', { reason: 'stopped' }));
  try {
    const { isBroken, ...details } = await play(log, hasTrouble);
    finish(isBroken ? 'broken' : 'held', details);
  } catch (error) {
    finish('notRun', { reason: error.stack });
  }
}
