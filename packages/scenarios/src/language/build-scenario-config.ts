import {
  hashSha256,
  toId,
  type AccountId,
  type FleetConfig,
  type RequestKind,
  type ServiceId,
} from '@vanillarelay/core';
import type { Mechanism } from '../fleet/mechanism.js';

const unlimited = 100;

/** Builds the configuration of the scenarios: a model service, a plain service and one account. */
export function buildScenarioConfig(
  dataCentres: readonly string[],
  without: ReadonlySet<Mechanism>,
): FleetConfig {
  const limits = {
    loadMultiple: without.has('loadBound') ? unlimited : 2,
    coldLimit: without.has('coldLimit') ? unlimited : 2,
    firstByteMs: 1_000,
  };
  const reports = toId<ServiceId>('reports');
  const notices = toId<ServiceId>('notices');
  return {
    dataCentres: Object.fromEntries(dataCentres.map((id) => [id, { region: 'punjab' }])),
    services: {
      [reports]: {
        type: 'model',
        ...limits,
        kinds: { chat: buildKind('POST', '/v1/chat/completions', {}) },
      },
      [notices]: {
        type: 'plain',
        ...limits,
        kinds: {
          notice: buildKind('POST', '/notices', { idempotent: false }),
          photo: buildKind('POST', '/photos', { mustArrive: true, deadlineMs: 120_000 }),
          lookup: buildKind('GET', '/permits', {}),
        },
      },
    },
    accounts: {
      [toId<AccountId>('inspectors')]: {
        keyHashes: [hashSha256('scenario-key')],
        requestsPerSecond: 10_000,
        services: [reports, notices],
      },
    },
    concurrentLoads: 2,
  };
}

function buildKind(
  method: string,
  pathPrefix: string,
  overrides: Partial<RequestKind>,
): RequestKind {
  return {
    methods: [method],
    pathPrefix,
    idempotent: true,
    mustArrive: false,
    priority: 5,
    deadlineMs: 20_000,
    ...overrides,
  };
}
