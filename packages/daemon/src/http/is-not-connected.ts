const notConnectedCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether an `undici` error means that no connection was made, so that no byte was sent. */
export function isNotConnected(error: unknown): boolean {
  return notConnectedCodes.has((error as { code?: string }).code ?? '');
}
