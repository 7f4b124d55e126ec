import { RelayError, ResultCode } from '@vanillarelay/core';

const addressPattern = /^[\w.[\]:-]{1,64}:\d{1,5}$/;

/** Checks a list of addresses that another daemon sent; throws `malformedMessage`. */
export function checkAddresses(received: unknown): void {
  const isValid = (value: unknown) => typeof value === 'string' && addressPattern.test(value);
  if (Array.isArray(received) && received.every(isValid)) return;
  throw new RelayError(ResultCode.malformedMessage, 'addresses: not a list of host:port');
}
