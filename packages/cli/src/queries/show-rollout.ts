import { RelayError, ResultCode } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import { callRouters } from '../context/call-routers.js';
import type { CliContext } from '../context/cli-context.js';
import { routerArgs } from '../context/router-args.js';

/** Creates the query `rollout show`, which talks to router daemons. */
export function createShowRolloutQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'show', description: 'Show the last roll-out of a service' },
    args: {
      service: { type: 'positional', description: 'Service', required: true },
      ...routerArgs,
    },
    run: async ({ args }) => {
      const { service } = args;
      const path = `/rollouts/${encodeURIComponent(service)}`;
      const text = await callRouters(context, args.control, { method: 'GET', path });
      const { state, to } = parseRollout(text);
      context.print(
        args.json
          ? JSON.stringify({ service, to, state }, null, 2)
          : `${service} to ${to}: ${state.replace('_', ' ')}`,
      );
    },
  });
}

function parseRollout(text: string): { state: string; to: string } {
  try {
    const { State: state, To: to } = JSON.parse(text) as Record<string, unknown>;
    if (typeof state === 'string' && typeof to === 'string') return { state, to };
  } catch {
    // Reported below, like an answer of another form.
  }
  throw new RelayError(ResultCode.malformedMessage, `the answer is no roll-out: ${text}`);
}
