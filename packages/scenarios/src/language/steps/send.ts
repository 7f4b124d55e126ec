import type { Call } from '../call.js';
import { sendCall } from '../send-call.js';
import { sendUntilAnswered } from '../send-until-answered.js';
import type { Step } from '../step.js';
import type { World } from '../world.js';

/**
 * `send TYPE NAME via ENTRY [within MS]`: sends one request without resends.
 * `send TYPE NAME COUNT every MS`: sends requests in the background, each until it is answered.
 */
export const send: Step = async (world, [type, name = '', word, value, ...rest]) => {
  if (word === 'via') {
    addPending(world, sendCall(world, name, type as Call['type'], value ?? '', rest[1]));
    return;
  }
  addPending(world, sendMany(world, type as Call['type'], name, Number(word), Number(rest[0])));
};

async function sendMany(
  world: World,
  type: Call['type'],
  name: string,
  count: number,
  everyMs: number,
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    addPending(world, sendUntilAnswered(world, `${name}-${index}`, type));
    await world.context.virtual.clock.wait(everyMs);
  }
}

function addPending(world: World, task: Promise<unknown>): void {
  const done = task.finally(() => world.pending.delete(done));
  world.pending.add(done);
}
