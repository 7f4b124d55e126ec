import { createFakeWeightStore } from '@vanillarelay/stand-ins';
import { createSystemClock } from '../platform/create-system-clock.js';
import { serveEndpoint } from './serve-endpoint.js';

/** Runs a fake weight store as a process until SIGTERM or SIGINT. */
export async function runFakeWeightStore(address: string): Promise<void> {
  const clock = createSystemClock();
  const store = createFakeWeightStore({ clock, instance: `${address}@${clock.now()}` });
  await serveEndpoint(address, store);
}
