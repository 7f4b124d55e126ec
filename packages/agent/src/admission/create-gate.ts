import {
  computeLoadBound,
  RelayError,
  ResultCode,
  type DataCentreId,
  type EndpointId,
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

const shortRetryMs = 500;
const longRetryMs = 2_000;

/** Makes the rules that close an endpoint to all new work. */
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
    if (isDeparting()) throw build(ResultCode.endpointLeaving, 'endpoint is leaving', longRetryMs);
    if (findLink().readContact() === 'isolated') {
      throw build(ResultCode.isolated, 'agent has no contact with control', longRetryMs);
    }
    if (isDataCentreOut()) {
      throw build(ResultCode.dataCentreOut, `data centre ${dataCentre} is taken out`, longRetryMs);
    }
    if (!readService()) throw build(ResultCode.notReady, `no service '${service}'`, shortRetryMs);
    if (!isEndpointUp()) throw build(ResultCode.notReady, 'endpoint is down', shortRetryMs);
  };

  const readLoadBound = (): number =>
    computeLoadBound(readService()?.loadMultiple ?? 1, findLink().readView().means[service] ?? 0);

  return { checkOpen, readService, readLoadBound, isDeparting, isDataCentreOut };
}

function build(code: ResultCode, message: string, retryAfterMs: number): RelayError {
  return new RelayError(code, message, { notRun: true, retryAfterMs });
}
