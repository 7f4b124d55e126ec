import type { ChangeOperation } from './change-operation.js';

interface FinalChange {
  changeId: string;
  configVersion: number;
}

/**
 * Checks that configuration changes were linearizable and that no accepted one was lost; returns
 * the violations. The configuration is a register that moves from version to version by compare and
 * set, so an order exists exactly if it is the order of versions.
 */
export function verifyChanges(operations: ChangeOperation[], final: FinalChange[]): string[] {
  const versions = new Map(final.map(({ changeId, configVersion }) => [changeId, configVersion]));
  return [
    ...verifyChain(final),
    ...operations.flatMap((operation) => verifyOutcome(operation, versions)),
    ...verifyOrder(operations, versions),
    ...operations.flatMap((operation) => verifyConflict(operation, operations, versions)),
  ];
}

/** Versions in the final history follow one another without gap or repetition. */
function verifyChain(final: FinalChange[]): string[] {
  return final.flatMap(({ changeId, configVersion }, position) =>
    configVersion === position + 1
      ? []
      : [`${changeId} has version ${configVersion} at ${position}`],
  );
}

function verifyOutcome(operation: ChangeOperation, versions: Map<string, number>): string[] {
  const { changeId, outcome, version, expectedVersion } = operation;
  const found = versions.get(changeId);
  if (found !== undefined && found !== expectedVersion + 1) {
    return [`${changeId} expected ${expectedVersion} and became ${found}`];
  }
  if (outcome === 'accepted' && found !== version) {
    return [`${changeId} was accepted as ${version} and is ${found ?? 'lost'}`];
  }
  const isRefused = outcome === 'conflict' || outcome === 'notRun';
  return isRefused && found !== undefined ? [`${changeId} was refused and is ${found}`] : [];
}

/** A change that was answered before another was sent has the lower version. */
function verifyOrder(operations: ChangeOperation[], versions: Map<string, number>): string[] {
  const applied = operations.filter(({ changeId }) => versions.has(changeId));
  return applied.flatMap((first) =>
    applied
      .filter(
        (second) =>
          first.answeredAt !== undefined &&
          first.answeredAt < second.sentAt &&
          (versions.get(first.changeId) ?? 0) >= (versions.get(second.changeId) ?? 0),
      )
      .map((second) => `${second.changeId} was sent after ${first.changeId} and precedes it`),
  );
}

/** A conflict names a version that was current at some time between send and answer. */
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
