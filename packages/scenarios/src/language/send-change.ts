import { createProposer } from '@vanillarelay/link';
import { toId, type ChangeId, type Command, type CommandResult } from '@vanillarelay/core';
import { openControls } from '../fleet/open-controls.js';
import type { World } from './world.js';

type Change = Extract<Command, { changeId: unknown }>;
type ChangeBody = Change extends infer Each
  ? Each extends Change
    ? Omit<Each, 'changeId' | 'operator'>
    : never
  : never;

const retryWindowMs = 30_000;

/** Sends an operator's change and retries it under the same change id until it is answered. */
export async function sendChange(world: World, body: ChangeBody): Promise<CommandResult> {
  const { context } = world;
  const process = context.virtual.createProcess('operator');
  const { clock } = process;
  const controls = openControls(context, process);
  const propose = createProposer({ clock, random: context.random, controls });
  world.changes += 1;
  const changeId = toId<ChangeId>(`change-${world.changes}`);
  const command = { ...body, changeId, operator: 'scenario' } as Command;
  const endAt = clock.monotonic() + retryWindowMs;
  while (true) {
    try {
      const result = await propose(command, new AbortController().signal);
      const { version = 0, configVersion = 0 } = (result.ok ? result.value : {}) as {
        version?: number;
        configVersion?: number;
      };
      if (result.ok) {
        world.accepted = { version, at: clock.monotonic() };
        world.configVersion = configVersion;
      }
      return result;
    } catch (error) {
      if (clock.monotonic() > endAt) throw error;
      await clock.wait(200);
    }
  }
}
