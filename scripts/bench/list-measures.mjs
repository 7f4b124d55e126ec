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

/** Lists the measurements of a run; a quick run omits 100 engines and the other multiples. */
export default function listMeasures(isQuick) {
  const reuse = (engines, multiple, policy) => ({
    ...{ measure: 'reuse', policy, engines, multiple, seed, entries: 3 },
    ...(engines > 50
      ? { warmUpMs: 30_000, durationMs: 60_000, churnMs: 5_000 }
      : { warmUpMs: 60_000, durationMs: isQuick ? 60_000 : 120_000, churnMs: 20_000 }),
  });
  const dataCentre = ({ name, ...deployment }, departure, policy) => ({
    ...{ measure: 'dataCentre', policy, deployment: name, ...deployment },
    ...{ departure, engines: 6, entries: 4, multiple: defaultMultiple, seed },
    ...{ phaseMs: 30_000, warmUpMs: 30_000 },
  });
  const otherMultiples = isQuick ? [] : [1.25, 1.5, 3];
  const sizes = isQuick ? [6] : [6, 100];
  return [
    ...sizes.flatMap((size) => policies.map((policy) => reuse(size, defaultMultiple, policy))),
    ...otherMultiples.flatMap((multiple) =>
      ['omniscient', 'home pointer'].map((policy) => reuse(6, multiple, policy)),
    ),
    ...deployments.flatMap((deployment) =>
      ['planned', 'unplanned'].flatMap((departure) =>
        dataCentrePolicies.map((policy) => dataCentre(deployment, departure, policy)),
      ),
    ),
  ];
}
