import { createFakeEngine } from '@vanillarelay/stand-ins';
import { serveOn } from '../http/serve-on.js';
import { createSystemClock } from '../platform/create-system-clock.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { createEndpointServer } from './create-endpoint-server.js';

/** Runs a fake engine as a process until a signal ends it. */
export async function runFakeEngine(address: string): Promise<void> {
  const clock = createSystemClock();
  const engine = createFakeEngine({
    clock,
    random: Math.random,
    instance: `${address}@${clock.now()}`,
  });
  const server = createEndpointServer(engine);
  await serveOn(server, address);
  await waitForSignal();
  server.close();
  server.closeAllConnections();
}
