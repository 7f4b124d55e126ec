import { spawnSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import listMeasures from './list-measures.mjs';
import renderBars from './render-bars.mjs';
import runChild from './run-child.mjs';

const concurrency = 4;
const resultFolder = new URL('../../bench/results/', import.meta.url);
const round = (value) => Math.round(value * 1_000) / 1_000;

/** Runs all measurements, a few at once, prints them as tables and writes JSON and plots. */
export default async function runMeasures({ isQuick }) {
  const command = `npm run bench${isQuick ? ' -- --quick' : ''}`;
  console.log(`${command}: seed 1, virtual clock`);
  const pending = listMeasures(isQuick).map((options, index) => ({ options, index }));
  const results = [];
  const runNext = async () => {
    for (let next = pending.shift(); next; next = pending.shift()) {
      results[next.index] = { options: next.options, result: await runChild(next.options) };
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runNext));
  const reuse = results.filter(({ options }) => options.measure === 'reuse');
  const dataCentre = results.filter(({ options }) => options.measure === 'dataCentre');
  console.log('\n1 and 2: cache reuse and load skew while engines crash one after another');
  console.table(reuse.map(({ result }) => formatReuse(result)));
  console.log('4: refusals and latency while a data centre leaves and returns');
  console.table(dataCentre.flatMap(({ options, result }) => formatPhases(options, result)));
  writeResults(isQuick ? 'quick' : 'full', { command, results, reuse, dataCentre });
  console.log('3: control traffic (real processes)');
  const args = ['scripts/bench/exchange.mjs', ...(isQuick ? ['today'] : [])];
  spawnSync(process.execPath, args, { stdio: 'inherit' });
}

function formatReuse({ policy, engines, multiple, ...result }) {
  return {
    ...{ policy, engines, multiple, refused: result.refused, broken: result.broken },
    ...{ reuse: round(result.reuse), skewMean: round(result.skewMean) },
    ...{
      skewWorst: round(result.skewWorst),
      overBound: result.worstExcess,
      atStart: result.startExcess,
    },
    ...{ firstByteP50: result.firstByteP50, firstByteP95: result.firstByteP95 },
  };
}

function formatPhases({ deployment, policy }, { departure, phases, lastNewWorkMs, coldFailures }) {
  return phases.map((phase) => ({
    deployment,
    policy,
    departure,
    ...phase,
    lastNewWorkMs,
    coldFailures,
  }));
}

function writeResults(name, { command, results, reuse, dataCentre }) {
  mkdirSync(resultFolder, { recursive: true });
  const write = (file, text) => writeFileSync(new URL(file, resultFolder), text);
  write(`${name}.json`, `${JSON.stringify({ command, seed: 1, results }, null, 2)}\n`);
  const bars = reuse.map(({ result: { policy, engines, multiple, reuse: value } }) => ({
    label: `${policy}, ${engines} engines, ${multiple}`,
    value,
  }));
  write(`${name}-reuse.svg`, renderBars('Share of prompt tokens found in cache', bars));
  const phases = dataCentre.flatMap(({ options, result }) =>
    result.phases.map(({ phase, firstByteP95 }) => ({
      label: `${options.deployment}, ${options.policy}, ${result.departure}, ${phase}`,
      value: firstByteP95,
    })),
  );
  write(`${name}-data-centre.svg`, renderBars('First byte, 95 in 100, ms', phases));
}
