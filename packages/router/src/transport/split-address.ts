import { RelayError, ResultCode } from '@vanillarelay/core';

/** Splits "IP:port". */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  const port = Number(address.slice(at + 1));
  if (at <= 0 || !Number.isInteger(port) || port < 1 || port > 65_535) {
    throw new RelayError(
      ResultCode.malformedMessage,
      `address: got "${address}", allowed: IP:port with a port from 1 to 65535`,
      { notRun: true },
    );
  }
  return { host: address.slice(0, at), port };
}
