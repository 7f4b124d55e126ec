import { checkAllSettings, checkFleetConfig, checkSettings } from '@vanillarelay/config';
import { RelayError } from '@vanillarelay/core';
import { expect, it } from 'vitest';

const agent = {
  role: 'agent',
  id: 'reports-1',
  vm: 'vm-1',
  dataCentre: 'lahore',
  address: '127.0.0.1:7300',
  peerKeys: ['a-peer-key-of-16-or-more'],
  operatorKeys: ['an-operator-key-of-16'],
  control: [{ id: 'control-1', address: '127.0.0.1:7101' }],
  service: 'reports',
  endpointAddress: '127.0.0.1:7400',
  slots: 16,
};

const readRefusal = (run: () => unknown): string => {
  try {
    run();
  } catch (error) {
    if (error instanceof RelayError) return `${error.code}\n${error.message}`;
    throw error;
  }
  return 'accepted';
};

// Guards against valid settings that are refused or do not get their defaults.
it('accepts valid settings and adds the default log level', () => {
  expect(checkSettings(agent, 'agent')).toEqual({ ...agent, logLevel: 'info' });
});

// Guards against messages that do not name the wrong value and what is allowed, and against secret
// keys in messages.
it.each([
  ['wrong types', { ...agent, slots: '16', service: 5, control: {} }],
  ['a missing and an unknown key', { ...agent, vm: undefined, slot: 3 }],
  ['bad addresses', { ...agent, address: 'localhost:7300', endpointAddress: '127.0.0.1:70000' }],
  ['a duplicate address', { ...agent, endpointAddress: '127.0.0.1:7300' }],
  ['a duplicate control node', { ...agent, control: [agent.control[0], agent.control[0]] }],
  ['an empty key list and a short key', { ...agent, peerKeys: [], operatorKeys: ['secret'] }],
  ['numbers out of range', { ...agent, slots: 0, logLevel: 'loud' }],
  ['an unknown role', { ...agent, role: 'router' }],
  ['the role of another command', { ...agent, role: 'entry' }],
  ['a value that is not an object', 'agent'],
])('refuses %s', (_, settings) => {
  expect(readRefusal(() => checkSettings(settings, 'agent'))).toMatchSnapshot();
});

// Guards against a control node that is not in the list of its own group.
it('refuses a control group without the node itself', () => {
  const { control, service, endpointAddress, slots, ...shared } = agent;
  const settings = { ...shared, role: 'control', dataFolder: '/data', group: control };
  expect(readRefusal(() => checkSettings(settings))).toMatchSnapshot();
});

// Guards against two processes with the same id or address, and against processes that are
// configured with different control groups.
it('refuses conflicting settings of several processes', () => {
  const first = checkSettings(agent, 'agent');
  const control = [{ id: 'control-9', address: '127.0.0.1:7109' }];
  const all = [
    { source: 'a.json', settings: first },
    { source: 'b.json', settings: { ...first, endpointAddress: '127.0.0.1:7401', control } },
  ];
  expect(readRefusal(() => checkAllSettings(all))).toMatchSnapshot();
});

// Guards against accounts that refer to unknown services, whose requests would all be refused, and
// against a key of two accounts.
it('refuses an inconsistent fleet configuration', () => {
  const account = { keyHashes: ['0'.repeat(64)], requestsPerSecond: 1, services: ['reprots'] };
  const config = {
    dataCentres: { Lahore: { region: 'punjab' } },
    services: {},
    accounts: {},
    concurrentLoads: 1,
  };
  const accounts = { a: account, b: account };
  expect(readRefusal(() => checkFleetConfig(config))).toMatchSnapshot();
  expect(
    readRefusal(() => checkFleetConfig({ ...config, dataCentres: {}, accounts })),
  ).toMatchSnapshot();
});
