import type { OperatorClient } from '@vanillarelay/daemon';
import type { CliContext } from '../context/cli-context.js';

const pollMs = 200;
/**
 * Longest time since the last report of a daemon that is waited for, in milliseconds. Daemons that
 * are silent for longer have stopped or are isolated and accept no new work.
 */
const maxSilentMs = 10_000;

/**
 * Polls the hubs until all daemons reach a state version or the time limit is over; returns the
 * number of daemons and those that are still behind.
 */
export async function waitUntilInForce(
  { wait }: Pick<CliContext, 'wait'>,
  client: OperatorClient,
  index: number,
  waitLimitMs: number,
): Promise<{ daemons: number; behind: string[] }> {
  for (let waitedMs = 0; ; waitedMs += pollMs) {
    const all = await client.listDaemons();
    const daemons = all.filter(({ silentMs }) => silentMs <= maxSilentMs);
    const behind = daemons.filter(({ version }) => version < index).map(({ daemon }) => daemon);
    if (behind.length === 0 || waitedMs >= waitLimitMs) return { daemons: daemons.length, behind };
    await wait(pollMs);
  }
}
