import { createServer } from 'node:http';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import type { ControlSettings } from '@vanillarelay/config';
import { createHub, createMemoryStore } from '@vanillarelay/control';
import { toId, type DaemonId } from '@vanillarelay/core';
import { WebSocketServer } from 'ws';
import { serveOn } from '../http/serve-on.js';
import { createProcessContext } from '../platform/create-process-context.js';
import { waitForSignal } from '../platform/wait-for-signal.js';
import { hasKey } from '../trust/has-key.js';
import type { ControlContext } from './control-context.js';
import { listConfigChanges } from './list-config-changes.js';
import { createControlRouter } from './create-control-router.js';

/** Runs a control process until a signal ends it. */
export async function runControl(settings: ControlSettings): Promise<void> {
  const context = await createProcessContext(settings);
  const store = createMemoryStore();
  const hub = createHub({ ...context, id: toId<DaemonId>(settings.id), store });
  const router = createControlRouter({
    exchange: hub.exchange,
    propose: store.propose,
    readState: () => store.readState().daemon,
    listDaemons: hub.listDaemons,
    listHistory: () => listConfigChanges(store.readState().history),
    listEndpoints: hub.listEndpoints,
    listTimeline: () => context.timeline.list(),
  });
  const server = createServer();
  const webSockets = new WebSocketServer({ server, maxPayload: 8 * 1024 * 1024 });
  applyWSSHandler({
    wss: webSockets,
    router,
    createContext: ({ info }): ControlContext => {
      const key = info.connectionParams?.key;
      if (hasKey(settings.peerKeys, key)) return { role: 'peer' };
      if (hasKey(settings.operatorKeys, key)) return { role: 'operator' };
      context.timeline.record('stranger.refused', {});
      throw new Error('unauthorized');
    },
  });
  await serveOn(server, settings.address);
  context.timeline.record('process.started', { role: 'control', address: settings.address });
  await waitForSignal();
  webSockets.clients.forEach((client) => client.terminate());
  webSockets.close();
  server.close();
}
