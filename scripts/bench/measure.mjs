// Runs one measurement, given as JSON, and prints its result as JSON.
import { setMaxListeners } from 'node:events';
import { listPolicies, measureDataCentre, measureReuse } from '@vanillarelay/bench';

setMaxListeners(0);
const { measure, policy: policyName, ...options } = JSON.parse(process.argv[2]);
const policy = listPolicies().find(({ name }) => name === policyName);
const run = measure === 'reuse' ? measureReuse : measureDataCentre;
console.log(JSON.stringify({ policy: policyName, ...(await run({ ...options, policy })) }));
process.exit(0);
