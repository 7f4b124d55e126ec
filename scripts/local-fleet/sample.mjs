// Runs the Qureshi example as separate processes with stand-ins for its back ends, sends sample
// traffic and prints what happened. `--once` ends after that, `--keep` keeps the logs, and
// `--port-offset 1000` moves all ports, so that two fleets can run on one machine.
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import createCaller from './create-caller.mjs';
import createLauncher from './create-launcher.mjs';
import loadExample from './load-example.mjs';
import printResults from './print-results.mjs';
import startFleet from './start-fleet.mjs';
import runExplain from './steps/run-explain.mjs';
import runNotice from './steps/run-notice.mjs';
import runPermitLookup from './steps/run-permit-lookup.mjs';
import runResumedStream from './steps/run-resumed-stream.mjs';
import runReturningChats from './steps/run-returning-chats.mjs';
import runTakeOut from './steps/run-take-out.mjs';
import runWalkthrough from './steps/run-walkthrough.mjs';

const controlNodeCount = 3;
const callerKey = 'example-key-of-lahore-water';
/** Limit on control traffic: bytes per second and daemon, both directions together. */
const controlBytesLimit = 2_048;

const steps = [
  { name: 'chats return', run: runReturningChats },
  { name: 'a permit is looked up', run: runPermitLookup },
  { name: 'a notice sent twice runs once', run: runNotice },
  { name: 'a photo walkthrough arrives', run: runWalkthrough },
  { name: 'a cut stream resumes elsewhere', run: runResumedStream },
  { name: 'a data centre is taken out under traffic', run: runTakeOut },
  { name: 'a request is explained across processes', run: runExplain },
];

const runStep = async ({ name, run }, context) => {
  try {
    return (await run(context)).map((result) => ({ name, ...result }));
  } catch (error) {
    return [{ name, passed: false, detail: error.message }];
  }
};

const runSteps = async (context) => {
  const { fleet } = context;
  const results = [];
  const bytesBefore = fleet.readControlBytes();
  const startedAt = performance.now();
  for (const step of steps) results.push(...(await runStep(step, context)));
  const seconds = (performance.now() - startedAt) / 1_000;
  const rate = (fleet.readControlBytes() - bytesBefore) / seconds / fleet.daemons;
  results.push({
    name: 'control traffic stays within its limit',
    passed: rate <= controlBytesLimit,
    detail: `${Math.round(rate)} bytes/s per daemon, both directions, ${fleet.daemons} daemons over ${seconds.toFixed(1)} s`,
  });
  return results;
};

const waitForSignal = () =>
  new Promise((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });

const { values: flags } = parseArgs({
  options: {
    once: { type: 'boolean', default: false },
    keep: { type: 'boolean', default: false },
    'port-offset': { type: 'string', default: '0' },
  },
});
const example = loadExample('qureshi', Number(flags['port-offset']));
const launcher = createLauncher();
const signalReceived = waitForSignal();
let fleet;
let hasPassed = false;

const runSample = async () => {
  console.log(`starting the fleet, logs in ${launcher.folder}`);
  fleet = await startFleet(launcher, example, controlNodeCount);
  console.log(`${launcher.children.size} processes are up, sending sample traffic`);
  const caller = createCaller(example.entries, callerKey);
  const results = await runSteps({ caller, example, fleet });
  printResults(results);
  const unexpectedExits = launcher.listUnexpectedExits();
  hasPassed = unexpectedExits.length === 0 && results.every(({ passed }) => passed);
  if (unexpectedExits.length > 0)
    console.log(`processes that exited unexpectedly: ${unexpectedExits.join(', ')}`);
  if (!flags.once) {
    const operatorPath = join(launcher.folder, 'operator.json');
    writeFileSync(operatorPath, JSON.stringify(example.operator));
    console.log(`entries: ${example.entries.map(({ address }) => address).join(', ')}`);
    console.log(`account key: ${callerKey}`);
    console.log(`node packages/cli/bin/vanillarelay.js status --fleet ${operatorPath}`);
    console.log('press Ctrl-C to stop the fleet');
    await signalReceived;
  }
};

try {
  await Promise.race([runSample(), signalReceived]);
} catch (error) {
  console.error(`local fleet failed: ${error.message}`);
}
fleet?.close();
await launcher.stop(flags.keep);
// After an incomplete start, sockets that are still open would keep this process alive.
process.exit(hasPassed ? 0 : 1);
