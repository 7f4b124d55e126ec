import { defineCommand } from 'citty';
import { callRouters } from '../context/call-routers.js';
import type { CliContext } from '../context/cli-context.js';
import { parseSeconds } from '../context/parse-seconds.js';
import { routerArgs } from '../context/router-args.js';

/** Creates the command `rollout start`, which talks to router daemons. */
export function createStartRolloutCommand(context: CliContext) {
  return defineCommand({
    meta: { name: 'start', description: 'Move the traffic of a service to a version' },
    args: {
      service: { type: 'positional', description: 'Service', required: true },
      to: { type: 'string', description: 'Version that its endpoints announce', required: true },
      'duration-s': {
        type: 'string',
        description: 'Time until the roll-out must have ended, in seconds',
        required: true,
      },
      ...routerArgs,
    },
    run: async ({ args }) => {
      const { service, to, control } = args;
      const durationS = parseSeconds('duration-s', args['duration-s']);
      const body = JSON.stringify({ Service: service, To: to, DurationS: durationS });
      await callRouters(context, control, { method: 'POST', path: '/rollouts', body });
      const accepted = { service, to, durationS };
      context.print(
        args.json
          ? JSON.stringify(accepted, null, 2)
          : `accepted: ${service} to ${to} within ${durationS} s`,
      );
    },
  });
}
