import { ResultCode, type Refusal } from '@vanillarelay/core';

const statuses: Partial<Record<ResultCode, number>> = {
  [ResultCode.malformedRequest]: 400,
  [ResultCode.unauthorized]: 401,
  [ResultCode.unknownPath]: 404,
  [ResultCode.slowCaller]: 408,
  [ResultCode.bodyTooLarge]: 413,
  [ResultCode.headersTooLarge]: 431,
};

const notRunStatus = 503;
const deadlineExceededStatus = 504;
const outcomeUnknownStatus = 502;

/** HTTP status of a refusal; 503 guarantees that the request has not run and never will. */
export function toStatus({ code, notRun }: Refusal): number {
  const status = statuses[code];
  if (status !== undefined) return status;
  if (notRun) return notRunStatus;
  return code === ResultCode.deadlineExceeded ? deadlineExceededStatus : outcomeUnknownStatus;
}
