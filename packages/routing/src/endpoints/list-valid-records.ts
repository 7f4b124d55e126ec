import { checkEndpointRecord } from './check-endpoint-record.js';
import type { EndpointRecord } from './endpoint-record.js';

/** Lists the valid ones of received endpoint records; reports why others were left out. */
export function listValidRecords(
  received: unknown,
  reportInvalid: (reason: string) => void,
): EndpointRecord[] {
  if (!Array.isArray(received)) {
    reportInvalid('endpoint records: not a list');
    return [];
  }
  return received.flatMap((value: unknown) => {
    try {
      return [checkEndpointRecord(value)];
    } catch (error) {
      reportInvalid((error as Error).message);
      return [];
    }
  });
}
