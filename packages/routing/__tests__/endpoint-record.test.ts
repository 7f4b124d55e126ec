import { checkEndpointRecord, listValidRecords } from '@vanillarelay/routing';
import fc from 'fast-check';
import { expect, it } from 'vitest';

const seed = 20_261_205;
const sound = {
  ...{ id: 'e1', bornAt: 100, sequence: 1, service: 'desk', address: '10.0.0.1:80' },
  ...{ dataCentre: 'dc', slots: 4, state: 'ready', coldLeftMs: 0 },
};

const readMessage = (change: object): string => {
  try {
    checkEndpointRecord({ ...sound, ...change });
    return 'valid';
  } catch (error) {
    return (error as Error).message;
  }
};

// Guards against messages that do not say what is allowed.
it('names the field that is not valid and what is allowed', () => {
  const changes = [
    {},
    { address: '10.0.0.1:65536' },
    { address: '256.0.0.1:80' },
    { address: '0.0.0.0:80' },
    { id: 'constructor' },
    { id: 'a b' },
    { slots: 0 },
    { sequence: 2 ** 53 },
    { bornAt: 0.5 },
    { bornAt: 1_700_000_000_000 },
    { bornAt: 1_700_000_000_000_000 },
    { coldLeftMs: 1e12 },
    { state: 'resting' },
    { version: 'v2' },
    { version: '' },
    { version: 'v'.repeat(257) },
  ];
  expect(changes.map((change) => [change, readMessage(change)])).toMatchSnapshot();
});

// Guards against one record of a list that hides the others, such as those read from the disk.
it('leaves out only the records that are not valid', () => {
  const reasons: string[] = [];
  const listed = listValidRecords([null, sound, { ...sound, slots: -1 }], (reason) =>
    reasons.push(reason),
  );
  const none = listValidRecords({ length: 1 }, (reason) => reasons.push(reason));
  expect({ listed, none, reasons }).toMatchSnapshot();
});

// Guards against a value that passes the check and that Node's client cannot use as an address.
it('accepts no record with a value out of range', () => {
  const odd = fc.oneof(fc.anything(), fc.double(), fc.string(), fc.constantFrom('__proto__', -0));
  const field = fc.constantFrom(...Object.keys(sound));
  fc.assert(
    fc.property(field, odd, (name, value) => {
      const text = readMessage({ [name]: value });
      if (text !== 'valid') return text.startsWith('endpoint record: ');
      const record = checkEndpointRecord({ ...sound, [name]: value });
      const port = Number(record.address.split(':')[1]);
      const numbers = [record.bornAt, record.sequence, record.slots];
      return port >= 1 && port <= 65_535 && numbers.every(Number.isSafeInteger);
    }),
    { seed, numRuns: 2_000 },
  );
});
