import type { ChangeId, Command, RelayError } from '@vanillarelay/core';
import type { ChangeOperation, ControlGroup } from '@vanillarelay/scenarios';

const buildConfig = (changeId: string, expectedVersion: number): Command => ({
  type: 'applyConfig',
  changeId: changeId as ChangeId,
  operator: changeId,
  expectedVersion,
  config: { dataCentres: {}, services: {}, accounts: {}, concurrentLoads: 1 },
});

/** An operator among several: resends after a lost reply and adopts the version of a conflict. */
export const runOperator = async (
  group: ControlGroup,
  name: string,
  operations: ChangeOperation[],
  isOver: () => boolean,
) => {
  const client = group.createClient(name);
  const now = () => client.clock.monotonic();
  let version = 0;
  for (let count = 0; !isOver(); count += 1) {
    const operation: ChangeOperation = {
      changeId: `${name}/${count}`,
      expectedVersion: version,
      sentAt: now(),
      outcome: 'unknown',
    };
    operations.push(operation);
    // One operation in three is sent only once, so that its refusal shows that it had no effect.
    const isSentOnce = count % 3 === 0;
    const result = await group
      .propose(client, buildConfig(operation.changeId, version), () => isSentOnce)
      .catch((error: RelayError) => error);
    if ('ok' in result) {
      operation.answeredAt = now();
      const { configVersion } = (result.ok ? result.value : result.details) as {
        configVersion: number;
      };
      operation.outcome = result.ok ? 'accepted' : 'conflict';
      operation.version = configVersion;
      version = configVersion;
    } else if (result.notRun) operation.outcome = 'notRun';
    await client.clock.wait(20);
  }
};
