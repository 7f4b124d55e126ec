import { RelayError, ResultCode, type TimelineEvent } from '@vanillarelay/core';
import { request } from 'undici';

/** Fetches the timeline of an entry or agent over plain HTTP. */
export async function requestTimeline(
  address: string,
  operatorKey: string,
  timeoutMs: number,
): Promise<TimelineEvent[]> {
  const answer = await request(`http://${address}/relay/timeline`, {
    headers: { 'x-relay-key': operatorKey },
    signal: AbortSignal.timeout(timeoutMs),
  });
  if (answer.statusCode === 200) return (await answer.body.json()) as TimelineEvent[];
  await answer.body.dump();
  throw new RelayError(
    ResultCode.connectionFailed,
    `${address} answered with status ${answer.statusCode}`,
  );
}
