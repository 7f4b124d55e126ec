import type { OperatorClient } from '@vanillarelay/daemon';
import type { CliContext } from '../context/cli-context.js';

const pollMs = 200;
/** Daemons silent for longer are gone or isolated, accept no new work and are not waited for. */
const reportWindowMs = 10_000;

/** Polls the hubs until all daemons reach a state version; returns those behind at the limit. */
export async function waitUntilInForce(
  { wait }: Pick<CliContext, 'wait'>,
  client: OperatorClient,
  index: number,
  limitMs: number,
): Promise<{ daemons: number; behind: string[] }> {
  for (let waitedMs = 0; ; waitedMs += pollMs) {
    const all = await client.listDaemons();
    const daemons = all.filter(({ silentMs }) => silentMs <= reportWindowMs);
    const behind = daemons.filter(({ version }) => version < index).map(({ daemon }) => daemon);
    if (behind.length === 0 || waitedMs >= limitMs) return { daemons: daemons.length, behind };
    await wait(pollMs);
  }
}
