/**
 * Resolves once a whole turn of the event loop has read its input. Node delivers a request before
 * the end of its connection, so without this a late process handles requests of peers that left.
 */
export function waitForInput(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}
