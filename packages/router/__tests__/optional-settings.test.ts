import { expect, it } from 'vitest';
import { RouterSettings } from '../src/daemon/router-settings.js';

const address = '127.0.0.1:7000';
const settings = {
  ...{ id: 'edge-1', dataCentre: 'lahore', ip: '127.0.0.1', isFirstStart: true, seeds: [] },
  ...{ peerPorts: [7001, 7002], dataFolder: '', announcePeriodMs: 1_200, graceS: 8 },
  listen: { callers: address, readiness: address, control: address },
  retries: { ratio: 0.2, windowS: 10, extra: 100 },
  coldEndpoints: { multiplier: 1.5, slackPerS: 5 },
};
const bounds = { exposeShare: '0.1', exposeSlack: '50', rollbackMs: '5000' };
const empty = { exposeShare: '', exposeSlack: '', rollbackMs: '' };

const parse = (change: object) => {
  const { success, data } = RouterSettings.safeParse({ ...settings, ...change });
  return success ? { terms: data.terms, rollouts: data.rollouts } : 'refused';
};

// Guards against a process that does not start where a deployment has no value for what its settings
// template names.
it('leaves out optional parts whose values are empty', () => {
  expect([
    parse({}),
    parse({ terms: '', rollouts: empty }),
    parse({ terms: 'base,pressure', rollouts: bounds }),
    parse({ rollouts: { ...bounds, exposeShare: '2' } }),
    parse({ rollouts: { ...bounds, exposeSlack: '' } }),
  ]).toEqual([
    { terms: undefined, rollouts: undefined },
    { terms: [], rollouts: undefined },
    {
      terms: ['base', 'pressure'],
      rollouts: { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 },
    },
    'refused',
    'refused',
  ]);
});
