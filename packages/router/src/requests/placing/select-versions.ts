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
 * Selects the endpoints of the versions that a request may use. Without an order to move to another
 * version, only the version that has run for longest gets requests, since the endpoints of the next
 * one are started before the order.
 */
export function selectVersions<Row extends EndpointTableRow>(
  { rollouts }: Pick<RouterContext, 'rollouts'>,
  service: ServiceId,
  rows: readonly Row[],
  { key, tried }: VersionRequest,
): VersionSelection<Row> {
  if (!rollouts) return { rows };
  const sides = rollouts.chooseSides(service, key, tried.size > 0);
  if (!sides) return { rows: selectEstablished(rows) };
  const { to, onTo, onOthers } = sides;
  if (onTo === 'excluded')
    return { rows: selectEstablished(rows.filter(({ record }) => record.version !== to)) };
  const readUse = ({ record }: Row): VersionUse => (record.version === to ? onTo : onOthers);
  const usual = rows.filter((row) => readUse(row) !== 'lastResort');
  if (usual.length === 0) return { rows };
  const preferred = usual.filter((row) => readUse(row) === 'preferred');
  return { rows: usual, preferred: new Set(preferred.map(({ record }) => record.id)) };
}

function selectEstablished<Row extends EndpointTableRow>(rows: readonly Row[]): readonly Row[] {
  const [first] = rows;
  if (!first || rows.every(({ record }) => record.version === first.record.version)) return rows;
  const oldest = rows.reduce((a, b) => (b.record.bornAt < a.record.bornAt ? b : a));
  return rows.filter(({ record }) => record.version === oldest.record.version);
}
