/**
 * Whether an answer belongs to the request that was sent last on its connection. An endpoint may
 * send an earlier answer once more; without an id, only the first answer on a connection is certain.
 */
export function isOwnAnswer(
  requestId: string,
  answeredId: string | undefined,
  isConnectionReused: boolean,
): boolean {
  return answeredId === undefined ? !isConnectionReused : answeredId === requestId;
}
