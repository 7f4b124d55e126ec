import type { EndpointClient } from '@vanillarelay/core';
import { listenOn } from '../http/listen-on.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { createEndpointServer } from './create-endpoint-server.js';

/** Serves a fake endpoint until SIGTERM or SIGINT. */
export async function serveEndpoint(
  address: string,
  endpoint: EndpointClient,
  switches: Record<string, () => unknown> = {},
): Promise<void> {
  const server = createEndpointServer({ endpoint, switches });
  await listenOn(server, address);
  await waitForSignal();
  server.close();
  server.closeAllConnections();
}
