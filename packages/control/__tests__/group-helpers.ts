import { encodeState } from '@vanillarelay/control';
import type { ChangeId, Command } from '@vanillarelay/core';
import type { ControlGroup } from '@vanillarelay/scenarios';
import { expect } from 'vitest';

export const buildConfig = (changeId: string, expectedVersion: number): Command => ({
  type: 'applyConfig',
  changeId: changeId as ChangeId,
  operator: 'operator',
  expectedVersion,
  config: { dataCentres: {}, services: {}, accounts: {}, concurrentLoads: expectedVersion + 1 },
});

/** Applies changes one after another; every one must be accepted. */
export const applyChanges = async (group: ControlGroup, from: number, count: number) => {
  const client = group.createClient(`client-${from}`);
  for (let version = from; version < from + count; version += 1) {
    const result = await group.virtual.runUntil(
      group.propose(client, buildConfig(`change-${version}`, version)),
      30_000,
    );
    expect(result).toMatchObject({ ok: true, value: { configVersion: version + 1 } });
  }
};

export const expectEqualNodes = async (group: ControlGroup, ids: string[]) => {
  await group.virtual.run(5_000);
  const states = ids.map((id) => [...encodeState(group.readStore(id).readState())].join('\n'));
  states.forEach((state, position) => {
    expect(state, `${ids[position]} (seed ${group.seed})`).toBe(states[0]);
  });
};

export const nodeIds = ['control-1', 'control-2', 'control-3'];
export const findFollowers = (leader: string) => nodeIds.filter((id) => id !== leader);
