import { ResultCode, type RelayError } from '@vanillarelay/core';
import { toHostName } from '@vanillarelay/routing';
import { expect, it } from 'vitest';
import { createControlCalls } from '../src/daemon/create-control-calls.js';

const route = { name: 'a', pathPrefix: '/send/', timeoutMs: 1_000, targets: [] };

/** Creates the calls of a daemon in which one configuration is in force. */
const createCalls = (inForce: { version: number; source: string }) => {
  const proposed: unknown[] = [];
  const calls = createControlCalls({
    clock: { monotonic: () => 0, now: () => 1_000 },
    node: {
      view: { state: inForce },
      propose: async (command: unknown) => {
        proposed.push(command);
        return { ok: true };
      },
    } as never,
    endpoints: undefined as never,
    inputAge: { startAge: () => () => 0, observeConnection: () => {} },
    log: { write: () => {} } as never,
    decodeConfig: (source) =>
      ({
        version: Number(source.split(' ')[1]),
        routes: ['desk.example', 'Desk.example'].map((host) => ({
          ...{ ...route, host: toHostName(host) },
          targets: [{ service: 'desk', weight: 1 }],
        })),
        ...{ services: [{ id: 'desk' }], accounts: [] },
      }) as never,
    hasService: () => true,
    ...{ isReady: () => true, hasState: () => true, recordOrder: () => {} },
  });
  const put = (source: string) =>
    calls.putConfig(source).then(
      () => 'accepted',
      (error: RelayError) => error.code,
    );
  return { put, proposed };
};

// Guards against refusing an order that was accepted: an earlier version acknowledged two routes for one
// host in two spellings, and the operator sends that configuration again.
it('acknowledges a configuration in force again that it would refuse now', async () => {
  const { put, proposed } = createCalls({ version: 7, source: 'pair 7' });
  expect([await put('pair 7'), await put('pair 8'), await put('other 7')]).toEqual([
    'accepted',
    ResultCode.invalidConfig,
    ResultCode.invalidConfig,
  ]);
  expect(proposed).toEqual([{ type: 'putConfig', version: 7, source: 'pair 7' }]);
});
