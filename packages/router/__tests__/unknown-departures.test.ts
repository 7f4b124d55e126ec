import { ResultCode, toId, type EndpointId } from '@vanillarelay/core';
import { createEndpointTable } from '@vanillarelay/routing';
import { expect, it } from 'vitest';
import { createControlCalls } from '../src/daemon/create-control-calls.js';

const clock = { monotonic: () => 0, now: () => 0 };

/** Creates the calls of a daemon that is not ready for requests, because it is late or starts. */
const createCalls = (hasState: boolean) =>
  createControlCalls({
    ...{ clock, node: {} as never, log: { write: () => {} } as never },
    endpoints: createEndpointTable({ clock, silenceMs: 1_000 }),
    ...{ decodeConfig: () => ({}) as never, recordOrder: () => {}, hasService: () => true },
    ...{ hasState: () => hasState, isReady: () => false },
    inputAge: { startAge: () => () => 0, observeConnection: () => {} },
  });

const remove = (hasState: boolean) =>
  createCalls(hasState)
    .removeEndpoint(toId<EndpointId>('i-1'), {
      signal: new AbortController().signal,
      readAgeMs: () => 0,
    })
    .then(
      () => 'acknowledged',
      ({ code }: { code: number }) => code,
    );

// Guards against a departure that is acknowledged and recorded nowhere, by a daemon that has just
// started and knows none of the endpoints.
it('acknowledges the departure of an unknown endpoint only once all are known', async () => {
  expect([await remove(false), await remove(true)]).toEqual([ResultCode.notReady, 'acknowledged']);
});
