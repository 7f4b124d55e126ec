// Runs each scenario with and without the mechanism that it tests, and prints a row for each.
import { setMaxListeners } from 'node:events';
import { loadScenarios, runScenario } from '@vanillarelay/scenarios';

setMaxListeners(0);
const [only] = process.argv.slice(2);
let failed = 0;

for (const scenario of loadScenarios()) {
  if (only && scenario.name !== only) continue;
  const faults = [];
  for (const seed of scenario.seeds) {
    const world = await runScenario(scenario, { seed });
    faults.push(...world.faults.map((fault) => `seed ${seed}: ${fault}`));
  }
  let faultsWithout = 0;
  for (const seed of scenario.seeds) {
    const world = await runScenario(scenario, { seed, without: scenario.without }).catch(
      (error) => ({ faults: [error.message] }),
    );
    faultsWithout += world.faults.length;
  }
  const isProved = faults.length === 0 && faultsWithout > 0;
  if (!isProved) failed += 1;
  console.log(
    `promise ${scenario.promise}  ${scenario.name.padEnd(20)} ${isProved ? 'holds' : 'FAILS'}  ` +
      `seeds ${scenario.seeds.join(' ')}; without ${scenario.without}: ${faultsWithout} faults; ${scenario.failures}`,
  );
  faults.slice(0, 8).forEach((fault) => console.log(`    ${fault}`));
}
process.exit(failed === 0 ? 0 : 1);
