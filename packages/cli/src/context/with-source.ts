import { RelayError } from '@vanillarelay/core';

/** Runs a check and prefixes each line of its error with the file that it concerns. */
export function withSource<T>(source: string, run: () => T): T {
  try {
    return run();
  } catch (error) {
    if (!(error instanceof RelayError)) throw error;
    const message = error.message.replace(/^/gm, `${source}: `);
    throw new RelayError(error.code, message, { notRun: true, cause: error });
  }
}
