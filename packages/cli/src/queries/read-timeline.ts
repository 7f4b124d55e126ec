import { toId, type RequestId } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { parseCount } from '../context/parse-count.js';
import { formatEvents } from './format-events.js';
import { runQuery } from './run-query.js';

/** Creates the query `timeline`. */
export function createTimelineQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'timeline', description: 'Show the events of all processes in order of time' },
    args: {
      request: { type: 'string', description: 'Only events of this request' },
      limit: { type: 'string', description: 'Newest events to show', default: '200' },
      ...operatorArgs,
    },
    run: async ({ args }) => {
      const limit = parseCount('limit', args.limit);
      await runQuery(
        context,
        args,
        async (client) => {
          const request = args.request ? toId<RequestId>(args.request) : undefined;
          const { events, missing } = await client.readTimeline(request);
          return { events: events.slice(-limit), missing };
        },
        formatEvents,
      );
    },
  });
}
