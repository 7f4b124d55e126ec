import { createHlc, type AgentClient, type DispatchRequest } from '@vanillarelay/core';
import { wrapAgentClient, wrapAgentHandlers } from '@vanillarelay/link';
import { createVirtualClock } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';

const { clock } = createVirtualClock();
const hlc = createHlc(clock);
const { signal } = new AbortController();
const request = { stateVersion: 7 } as DispatchRequest;

// Guards against running a request on a state that its entry knows to be outdated.
it('runs a request only after the state version that it names was fetched', async () => {
  const events: string[] = [];
  const createHandlers = (isFetched: boolean) =>
    wrapAgentHandlers(
      {
        dispatch: async () => {
          events.push('run');
          return { type: 'answer' };
        },
      } as unknown as AgentClient,
      {
        hlc,
        findLink: () => ({
          readView: () => ({ state: { version: 6 } }) as never,
          receiveVersion: async (version) => {
            events.push(`fetch ${version}`);
            return isFetched;
          },
        }),
      },
    );
  const replies = [
    await createHandlers(true).dispatch(request, signal),
    await createHandlers(false).dispatch(request, signal),
  ];
  expect({ events, replies }).toMatchInlineSnapshot(`
    {
      "events": [
        "fetch 7",
        "run",
        "fetch 7",
      ],
      "replies": [
        {
          "type": "answer",
        },
        {
          "at": "01700000000000.00000",
          "refusal": {
            "code": 3007,
            "message": "state version 7 could not be fetched",
            "notRun": true,
          },
          "stateVersion": 6,
          "type": "refusal",
        },
      ],
    }
  `);
});

// Guards against an entry that keeps using a state that its agents know to be outdated.
it('fetches the state version that a reply names', async () => {
  const versions: number[] = [];
  const dispatch = async () => ({ type: 'answer', stateVersion: 9 });
  const client = wrapAgentClient({ dispatch } as unknown as AgentClient, () => ({
    receiveVersion: async (version) => versions.push(version) > 0,
  }));
  await client.dispatch(request, signal);
  expect(versions).toEqual([9]);
});
