import type { Expectation } from './expectation.js';

/** `served TYPE`: no request of the type was ever refused or cut off, not even before a resend. */
export const checkServed: Expectation = ({ calls }, [type]) =>
  calls
    .filter((call) => call.type === type && (call.status !== 200 || call.isBroken))
    .map(
      ({ name, status, code, sentAt }) =>
        `${name}, sent at ${Math.round(sentAt)}, got ${status} ${code ?? 'and was cut off'}`,
    );
