import {
  computeLoadBound,
  RelayError,
  ResultCode,
  type DataCentreId,
  type EndpointId,
  type Member,
  type ServiceConfig,
  type ServiceId,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';

interface GateOptions {
  id: EndpointId;
  service: ServiceId;
  dataCentre: DataCentreId;
  findLink: () => Pick<Link, 'readView' | 'readContact'>;
  isLeaving: () => boolean;
  isEndpointUp: () => boolean;
}

const shortRetryAfterMs = 500;
const longRetryAfterMs = 2_000;

/** Creates the gate of an endpoint: it refuses all new work while the endpoint must not get any. */
export function createGate(options: GateOptions) {
  const { id, service, dataCentre, findLink, isLeaving, isEndpointUp } = options;

  const readService = (): ServiceConfig | undefined =>
    findLink().readView().state?.config.services[service];

  const isDeparting = (): boolean => {
    const { state } = findLink().readView();
    return isLeaving() || (state?.draining.includes(id) ?? false);
  };

  const isDataCentreOut = (): boolean =>
    findLink().readView().state?.dataCentresOut.includes(dataCentre) ?? false;

  /** Throws the refusal when no new work is allowed. */
  const checkOpen = (): void => {
    if (isDeparting())
      throw buildRefusal(ResultCode.endpointLeaving, 'endpoint is leaving', longRetryAfterMs);
    if (findLink().readContact() === 'isolated') {
      throw buildRefusal(
        ResultCode.isolated,
        'agent has no contact with control',
        longRetryAfterMs,
      );
    }
    if (isDataCentreOut()) {
      throw buildRefusal(
        ResultCode.dataCentreOut,
        `data centre ${dataCentre} is taken out`,
        longRetryAfterMs,
      );
    }
    if (!readService())
      throw buildRefusal(ResultCode.notReady, `no service '${service}'`, shortRetryAfterMs);
    if (!isEndpointUp())
      throw buildRefusal(ResultCode.notReady, 'endpoint is down', shortRetryAfterMs);
  };

  /** Returns how many requests may run here, when `running` run and one more is to be admitted. */
  const readLoadBound = (running: number): number => {
    const view = findLink().readView();
    const count = countServing(view.members);
    // The mean of the latest frame, corrected by the change of this endpoint's load since. For the
    // only endpoint of a service, the result is its current load.
    const loadChange = running + 1 - (view.loads.get(id) ?? 0);
    const mean = (view.means[service] ?? 0) + loadChange / Math.max(1, count);
    return computeLoadBound(readService()?.loadMultiple ?? 1, mean);
  };

  const countServing = (members: ReadonlyMap<EndpointId, Member>): number => {
    let count = 0;
    // Called on each admission, so the members are not copied into an array.
    members.forEach((member) => {
      if (member.service === service && member.status !== 'leaving') count += 1;
    });
    return count;
  };

  return { checkOpen, readService, readLoadBound, isDeparting, isDataCentreOut };
}

function buildRefusal(code: ResultCode, message: string, retryAfterMs: number): RelayError {
  return new RelayError(code, message, { notRun: true, retryAfterMs });
}
