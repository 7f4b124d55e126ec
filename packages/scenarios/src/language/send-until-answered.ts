import type { Call } from './call.js';
import { sendCall } from './send-call.js';
import type { World } from './world.js';

const resendIntervalMs = 1_000;
const maxSends = 30;

/**
 * Sends a request through a random entry and resends it in the same way until it gets a complete
 * answer, at most `maxSends` times in all.
 */
export async function sendUntilAnswered(
  world: World,
  name: string,
  type: Call['type'],
): Promise<void> {
  const { random, virtual, entries } = world.context;
  for (let send = 0; send < maxSends; send += 1) {
    const ids = [...entries.keys()];
    const via = ids[Math.floor(random() * ids.length)] ?? 'entry-0';
    const call = await sendCall(world, name, type, via);
    if (call.status === 200 && !call.isBroken) return;
    await virtual.clock.wait(resendIntervalMs);
  }
}
