import type { EndpointId, ServiceId } from '@vanillarelay/core';
import type { EndpointTableRow, VersionUse } from '@vanillarelay/routing';
import type { RouterContext } from '../router-context.js';

/** The properties of a request that decide which versions it may use. */
interface VersionRequest {
  /** Requests with the same key use the same version while a roll-out is in progress. */
  key: string;
  tried: ReadonlySet<EndpointId>;
}

interface VersionSelection<Row> {
  rows: readonly Row[];
  /** Endpoints that are used first if one of them has capacity; absent when all are equal. */
  preferred?: ReadonlySet<EndpointId>;
}

/**
 * Time for which the endpoints of a version that is new to this router get no requests without an
 * order. They are started around the order, whose state may arrive after them.
 */
const newVersionMs = 3_000;
/** Versions whose endpoints become known within this time, as after a start, are equally new. */
const minLeadMs = 500;

/** Selects the endpoints of the versions that a request may use. */
export function selectVersions<Row extends EndpointTableRow>(
  { clock, rollouts }: Pick<RouterContext, 'clock' | 'rollouts'>,
  service: ServiceId,
  rows: readonly Row[],
  { key, tried }: VersionRequest,
): VersionSelection<Row> {
  if (!rollouts) return { rows };
  const sides = rollouts.chooseSides(service, key, tried.size > 0);
  if (!sides) return { rows: selectKnownVersions(rows, clock.monotonic()) };
  const { to, onTo, onOthers, excluded } = sides;
  const readUse = ({ record: { version } }: Row): VersionUse => {
    if (version !== undefined && excluded.has(version)) return 'excluded';
    return version === to ? onTo : onOthers;
  };
  const allowed = rows.filter((row) => readUse(row) !== 'excluded');
  const usual = allowed.filter((row) => readUse(row) !== 'lastResort');
  if (usual.length === 0) return { rows: allowed };
  const preferred = usual.filter((row) => readUse(row) === 'preferred');
  return { rows: usual, preferred: new Set(preferred.map(({ record }) => record.id)) };
}

/** Leaves out versions that are new to this router beside one that it knew before. */
function selectKnownVersions<Row extends EndpointTableRow>(
  rows: readonly Row[],
  now: number,
): readonly Row[] {
  const firstSeen = new Map<string | undefined, number>();
  rows.forEach(({ record: { version }, firstSeenAt }) => {
    firstSeen.set(version, Math.min(firstSeen.get(version) ?? Infinity, firstSeenAt));
  });
  if (firstSeen.size < 2) return rows;
  const earliest = Math.min(...firstSeen.values());
  return rows.filter(({ record: { version } }) => {
    const seenAt = firstSeen.get(version) ?? earliest;
    return seenAt - earliest < minLeadMs || now - seenAt >= newVersionMs;
  });
}
