const policies = [
  'random',
  'round robin',
  'rendezvous, no bound',
  'rendezvous, bounded',
  'omniscient',
  'home pointer',
];
const dataCentrePolicies = ['random', 'round robin', 'rendezvous, no bound', 'home pointer'];
const seed = 1;
const defaultMultiple = 2;
const deployments = [
  { name: 'qureshi', dataCentres: ['lahore', 'faisalabad', 'multan'], delayMs: 1 },
  { name: 'tremblay', dataCentres: ['one', 'two', 'three', 'four'], delayMs: 0.5 },
];

/** Lists the measurements; a quick run omits 100 engines and all multiples but the default. */
export default function listMeasures(isQuick) {
  const buildReuse = (engines, multiple, policy) => ({
    ...{ measure: 'reuse', policy, engines, multiple, seed, entries: 3 },
    ...(engines > 50
      ? { warmUpMs: 30_000, durationMs: 60_000, churnMs: 5_000 }
      : { warmUpMs: 60_000, durationMs: isQuick ? 60_000 : 120_000, churnMs: 20_000 }),
  });
  const buildDataCentre = ({ name, ...deployment }, departure, policy) => ({
    ...{ measure: 'dataCentre', policy, deployment: name, ...deployment },
    ...{ departure, engines: 6, entries: 4, multiple: defaultMultiple, seed },
    ...{ phaseMs: 30_000, warmUpMs: 30_000 },
  });
  const otherMultiples = isQuick ? [] : [1.25, 1.5, 3];
  const engineCounts = isQuick ? [6] : [6, 100];
  return [
    ...engineCounts.flatMap((count) =>
      policies.map((policy) => buildReuse(count, defaultMultiple, policy)),
    ),
    ...otherMultiples.flatMap((multiple) =>
      ['omniscient', 'home pointer'].map((policy) => buildReuse(6, multiple, policy)),
    ),
    ...deployments.flatMap((deployment) =>
      ['planned', 'unplanned'].flatMap((departure) =>
        dataCentrePolicies.map((policy) => buildDataCentre(deployment, departure, policy)),
      ),
    ),
  ];
}
