import type { Expectation } from './expectation.js';

/** `answered TYPE`: every request of the type got a complete answer, possibly after resends. */
export const checkAnswered: Expectation = ({ calls }, [type]) => {
  const names = new Set(calls.filter((call) => call.type === type).map(({ name }) => name));
  calls.forEach(({ name, status, isBroken }) => {
    if (status === 200 && !isBroken) names.delete(name);
  });
  return [...names].map((name) => `${name} never got a complete answer`);
};
