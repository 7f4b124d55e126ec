import { RelayError, ResultCode, toId, type RequestId } from '@vanillarelay/core';
import type { OperatorClient } from '@vanillarelay/daemon';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { formatEvents } from './format-events.js';
import { runQuery } from './run-query.js';

/** Creates the query `explain`. */
export function createExplainQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'explain', description: 'Show what happened to one request' },
    args: {
      id: { type: 'positional', description: 'Request id, as in x-request-id', required: true },
      ...operatorArgs,
    },
    run: ({ args }) =>
      runQuery(context, args, (client) => readEvents(client, args.id), formatEvents),
  });
}

async function readEvents(client: OperatorClient, id: string) {
  const found = await client.readTimeline(toId<RequestId>(id));
  if (found.events.length > 0) return found;
  throw new RelayError(
    ResultCode.unknownTarget,
    `no process keeps an event of request "${id}"; each keeps its newest 5000 events`,
    { notRun: true },
  );
}
