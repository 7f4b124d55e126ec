import type { ChangeOperation } from './change-operation.js';

interface AppliedChange {
  changeId: string;
  configVersion: number;
}

/**
 * Checks that configuration changes were linearizable and that no accepted change was lost; returns
 * the violations. The configuration is a register that changes by compare-and-set, so the changes
 * are linearizable exactly if the order of versions is a valid order.
 */
export function verifyChanges(operations: ChangeOperation[], history: AppliedChange[]): string[] {
  const versions = new Map(history.map(({ changeId, configVersion }) => [changeId, configVersion]));
  return [
    ...verifyConsecutiveVersions(history),
    ...operations.flatMap((operation) => verifyOutcome(operation, versions)),
    ...verifyOrder(operations, versions),
    ...operations.flatMap((operation) => verifyConflict(operation, operations, versions)),
  ];
}

/** Checks that the versions in the history are consecutive. */
function verifyConsecutiveVersions(history: AppliedChange[]): string[] {
  return history.flatMap(({ changeId, configVersion }, position) =>
    configVersion === position + 1
      ? []
      : [`${changeId} has version ${configVersion} at position ${position} of the history`],
  );
}

function verifyOutcome(operation: ChangeOperation, versions: Map<string, number>): string[] {
  const { changeId, outcome, version, expectedVersion } = operation;
  const appliedVersion = versions.get(changeId);
  if (appliedVersion !== undefined && appliedVersion !== expectedVersion + 1) {
    return [`${changeId} expected ${expectedVersion} and became ${appliedVersion}`];
  }
  if (outcome === 'accepted' && appliedVersion !== version) {
    return [`${changeId} was accepted as ${version} and is ${appliedVersion ?? 'lost'}`];
  }
  const isRefused = outcome === 'conflict' || outcome === 'notRun';
  return isRefused && appliedVersion !== undefined
    ? [`${changeId} was refused and is ${appliedVersion}`]
    : [];
}

/** Checks that a change answered before another was sent has the lower version. */
function verifyOrder(operations: ChangeOperation[], versions: Map<string, number>): string[] {
  const applied = operations.filter(({ changeId }) => versions.has(changeId));
  return applied.flatMap((earlier) =>
    applied
      .filter(
        (later) =>
          earlier.answeredAt !== undefined &&
          earlier.answeredAt < later.sentAt &&
          (versions.get(earlier.changeId) ?? 0) >= (versions.get(later.changeId) ?? 0),
      )
      .map((later) => `${later.changeId} was sent after ${earlier.changeId} and precedes it`),
  );
}

/** Checks that a conflict names a version that was current at some time between send and answer. */
function verifyConflict(
  { changeId, outcome, version = 0, expectedVersion, sentAt, answeredAt = 0 }: ChangeOperation,
  operations: ChangeOperation[],
  versions: Map<string, number>,
): string[] {
  if (outcome !== 'conflict') return [];
  const isTooOld = operations.some(
    (other) =>
      other.answeredAt !== undefined &&
      other.answeredAt < sentAt &&
      (versions.get(other.changeId) ?? 0) > version,
  );
  const cause = operations.find((other) => versions.get(other.changeId) === version);
  const isFromFuture = cause !== undefined && cause.sentAt > answeredAt;
  return version === expectedVersion || isTooOld || isFromFuture
    ? [`${changeId} got a conflict with version ${version}`]
    : [];
}
