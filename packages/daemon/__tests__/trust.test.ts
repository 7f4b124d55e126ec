import { readFileSync } from 'node:fs';
import { createServer, type AddressInfo, type Server } from 'node:net';
import {
  createHlc,
  findCodeName,
  toId,
  type ResultCode,
  type AgentPeer,
  type Report,
} from '@vanillarelay/core';
import {
  createAgentServer,
  createControlRouter,
  createControlServer,
  loadPeerCredentials,
  openAgent,
  openControl,
  type TlsFiles,
} from '@vanillarelay/daemon';
import { afterEach, expect, it } from 'vitest';

const oldKey = 'old-peer-key-00001';
const newKey = 'new-peer-key-00001';
const operatorKey = 'operator-key-00001';

const readFile = (name: string) => readFileSync(new URL(`./tls/${name}`, import.meta.url));
const tls: TlsFiles = {
  cert: readFile('certificate.pem'),
  key: readFile('key.pem'),
  ca: readFile('certificate.pem'),
};
const otherAuthority: TlsFiles = { ...tls, ca: readFile('other-authority.pem') };

const cleanups: (() => void)[] = [];
afterEach(() => cleanups.splice(0).forEach((clean) => clean()));

const listen = async (server: Pick<Server, 'listen' | 'address'>, port = 0): Promise<string> => {
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const hlc = createHlc({ now: () => 1_700_000_000_000 } as never);
const buildReport = (change: object = {}): Report =>
  ({
    ...{ daemon: 'entry-1', role: 'entry', vm: 'v', dataCentre: 'd', address: '127.0.0.1:1' },
    ...{ incarnation: 1, stateVersion: 0, contact: 'isolated', cursor: '', at: hlc.read() },
    ...change,
  }) as unknown as Report;

/** Starts a control server whose handlers record their calls. */
async function startControl(files?: TlsFiles, port?: number) {
  const events: string[] = [];
  const router = createControlRouter({
    exchange: async () => {
      events.push('exchange');
      return { hub: 'control-1' };
    },
    propose: async () => {
      events.push('propose');
      return { ok: true, index: 1 };
    },
    readState: () => ({ version: 3 }),
    readQuorum: () => ({ quorumAgeMs: 1 }),
  } as never);
  const server = createControlServer({
    router,
    peerKeys: [newKey, oldKey],
    operatorKeys: [operatorKey],
    tls: files,
    reportUnauthorized: () => events.push('stranger logged'),
    reportRefusal: (path) => events.push(`refused ${path}`),
  });
  cleanups.push(() => server.stop());
  return { events, address: await listen(server, port) };
}

/**
 * Starts a server at an address that refused connections before; returns the events that `client`,
 * which has waited for the address, causes there.
 */
async function startLate(
  address: string,
  client: ReturnType<typeof openClient>,
): Promise<string[]> {
  const { events } = await startControl(undefined, Number(address.split(':')[1]));
  for (let tries = 0; tries < 50; tries += 1) {
    if ((await formatOutcome((signal) => client.exchange(buildReport(), signal))) === 'ok') break;
  }
  return events;
}

/** Formats the outcome of a call: `ok`, or the code and `notRun` of its refusal. */
async function formatOutcome(call: (signal: AbortSignal) => Promise<unknown>): Promise<unknown> {
  try {
    await call(AbortSignal.timeout(5_000));
    return 'ok';
  } catch (error) {
    const { code, notRun } = error as { code: ResultCode; notRun: boolean };
    return `${findCodeName(code)}, notRun ${String(notRun)}`;
  }
}

const openClient = (address: string, key: string, files?: TlsFiles) => {
  const client = openControl(address, { key, tls: files });
  cleanups.push(client.close);
  return client;
};

// Guards against access without a valid key, and against a key rotation that locks peers out.
it('accepts every listed key for its role and refuses all others before they send a message', async () => {
  const { address, events } = await startControl();
  const exchange = (key: string) =>
    formatOutcome((signal) => openClient(address, key).exchange(buildReport(), signal));
  const results = {
    newKey: await exchange(newKey),
    oldKey: await exchange(oldKey),
    operatorExchanges: await exchange(operatorKey),
    operatorReads: await formatOutcome(() => openClient(address, operatorKey).readState()),
    wrongKey: await exchange('wrong-peer-key-0001'),
    emptyKey: await exchange(''),
    hugeKey: await exchange('k'.repeat(4_000)),
  };
  expect({ results, events: [...new Set(events)] }).toMatchInlineSnapshot(`
    {
      "events": [
        "exchange",
        "refused exchange",
        "stranger logged",
      ],
      "results": {
        "emptyKey": "strangerRefused, notRun true",
        "hugeKey": "strangerRefused, notRun true",
        "newKey": "ok",
        "oldKey": "ok",
        "operatorExchanges": "strangerRefused, notRun true",
        "operatorReads": "ok",
        "wrongKey": "strangerRefused, notRun true",
      },
    }
  `);
});

// Guards against malformed or oversized messages that reach the hub.
it('refuses reports that do not match the schema, as not run', async () => {
  const { address, events } = await startControl();
  const client = openClient(address, newKey);
  const exchange = (change: object) =>
    formatOutcome((signal) => client.exchange(buildReport(change), signal));
  const usage = Object.fromEntries(Array.from({ length: 10_001 }, (_, i) => [`a${i}`, 1]));
  expect([
    await exchange({ role: 'control' }),
    await exchange({ stateVersion: -1 }),
    await exchange({ extra: true }),
    await exchange({ at: 'tomorrow' }),
    await exchange({ daemon: 'd'.repeat(1_000) }),
    await exchange({ usage }),
    await exchange({ announcement: { id: 'a' } }),
  ]).toEqual(Array(7).fill('malformedMessage, notRun true'));
  expect([...new Set(events)]).toEqual(['refused exchange']);
});

// Guards against keys sent in clear text and against servers with an untrusted certificate.
it('uses TLS on every connection when the settings name files, and never falls back', async () => {
  const control = await startControl(tls);
  const agentServer = createAgentServer({
    handlers: { readContact: async () => ({ contact: 'attached' }) } as unknown as AgentPeer,
    peerKeys: [newKey],
    tls,
    listTimeline: () => [],
    reportUnauthorized: () => {},
  });
  const agentAddress = await listen(agentServer);
  cleanups.push(
    () => agentServer.closeAllConnections(),
    () => agentServer.close(),
  );
  const exchange = (files?: TlsFiles) =>
    formatOutcome((signal) =>
      openClient(control.address, newKey, files).exchange(buildReport(), signal),
    );
  const read = (files?: TlsFiles) =>
    formatOutcome((signal) =>
      openAgent(agentAddress, { key: newKey, tls: files }).readContact(0, signal),
    );
  expect({
    control: await exchange(tls),
    controlOfOtherAuthority: await exchange(otherAuthority),
    controlPlain: await exchange(),
    agent: await read(tls),
    agentOfOtherAuthority: await read(otherAuthority),
    agentPlain: await read(),
    served: control.events,
  }).toMatchInlineSnapshot(`
    {
      "agent": "ok",
      "agentOfOtherAuthority": "connectionFailed, notRun false",
      "agentPlain": "connectionFailed, notRun false",
      "control": "ok",
      "controlOfOtherAuthority": "connectionFailed, notRun true",
      "controlPlain": "connectionFailed, notRun true",
      "served": [
        "exchange",
      ],
    }
  `);
});

// Guards against a silent control VM that is mistaken for one that refuses connections, and against
// "not run" for a sent command.
it('distinguishes refused from silent connections, and waiting from sent commands', async () => {
  const silent = createServer(() => {});
  const silentAddress = await listen(silent);
  const closed = createServer();
  const closedAddress = await listen(closed);
  closed.close();
  cleanups.push(() => silent.close());
  const command = { type: 'void', account: 'a', key: 'k', attemptId: toId('x') } as never;
  const short = () => AbortSignal.timeout(300);
  const atClosed = openClient(closedAddress, newKey);
  const atSilent = openClient(silentAddress, newKey);
  expect({
    closedQuorum: await formatOutcome((signal) => atClosed.readQuorum(0, signal)),
    closedPropose: await formatOutcome((signal) => atClosed.propose(command, signal)),
    silentQuorum: await formatOutcome(() => atSilent.readQuorum(0, short())),
    silentPropose: await formatOutcome(() => atSilent.propose(command, short())),
    afterwards: await startLate(closedAddress, atClosed),
  }).toMatchInlineSnapshot(`
    {
      "afterwards": [
        "exchange",
      ],
      "closedPropose": "connectionFailed, notRun true",
      "closedQuorum": "connectionFailed, notRun true",
      "silentPropose": "connectionFailed, notRun true",
      "silentQuorum": "connectionFailed, notRun false",
    }
  `);
});

// Guards against a process that starts without the keys or files that its settings require.
it('rejects when there is no key or a file is missing', async () => {
  const files = { certificateFile: 'none.pem', keyFile: 'none.pem', caFile: 'none.pem' };
  expect([
    await formatOutcome(() => loadPeerCredentials({ peerKeys: [] })),
    await formatOutcome(() => loadPeerCredentials({ peerKeys: [newKey], tls: files })),
  ]).toEqual(['invalidSettings, notRun false', 'unreadableFile, notRun false']);
});
