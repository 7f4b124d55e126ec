// Starts the thin whole path as separate processes and sends one returning chat through two entries.
import { createHash } from 'node:crypto';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { openControl } from '@vanillarelay/daemon';
import createLauncher from './create-launcher.mjs';

const peerKey = 'local-peer-key-0001';
const operatorKey = 'local-operator-key-0001';
const accountKey = 'local-account-key-0001';
const control = [{ id: 'control-1', address: '127.0.0.1:7101' }];
const launcher = createLauncher();
const common = { peerKeys: [peerKey], operatorKeys: [operatorKey], logLevel: 'info' };

launcher.startDaemon({
  role: 'control',
  id: 'control-1',
  vm: 'vm-1',
  dataCentre: 'lahore',
  address: control[0].address,
  dataFolder: join(launcher.folder, 'control-1'),
  group: control,
  ...common,
});
for (const [index, dataCentre] of ['lahore', 'faisalabad', 'multan'].entries()) {
  launcher.start(`engine-${index}`, ['fake-engine', `127.0.0.1:${7400 + index}`]);
  launcher.startDaemon({
    role: 'agent',
    id: `reports-${index}`,
    vm: `vm-engine-${index}`,
    dataCentre,
    address: `127.0.0.1:${7300 + index}`,
    control,
    service: 'reports',
    endpointAddress: `127.0.0.1:${7400 + index}`,
    slots: 16,
    ...common,
  });
}
for (const index of [0, 1]) {
  launcher.startDaemon({
    role: 'entry',
    id: `entry-${index}`,
    vm: `vm-entry-${index}`,
    dataCentre: 'lahore',
    address: `127.0.0.1:${7200 + index}`,
    control,
    ...common,
  });
}

const config = {
  dataCentres: {
    lahore: { region: 'punjab' },
    faisalabad: { region: 'punjab' },
    multan: { region: 'punjab' },
  },
  services: {
    reports: {
      type: 'model',
      loadMultiple: 2,
      coldLimit: 2,
      firstByteMs: 500,
      kinds: {
        chat: {
          methods: ['POST'],
          pathPrefix: '/v1/chat/completions',
          idempotent: true,
          mustArrive: false,
          priority: 5,
          deadlineMs: 30_000,
        },
      },
    },
  },
  accounts: {
    inspectors: {
      keyHashes: [createHash('sha256').update(accountKey).digest('hex')],
      requestsPerSecond: 100,
      services: ['reports'],
    },
  },
  concurrentLoads: 2,
};

const waitForControl = async (client) => {
  for (let i = 0; i < 100; i += 1) {
    const answer = await client.readQuorum(0, AbortSignal.timeout(1_000)).catch(() => undefined);
    if (answer) return;
    await wait(100);
  }
  throw new Error('control did not get ready');
};

const waitForReady = async (url) => {
  for (let i = 0; i < 100; i += 1) {
    const answer = await fetch(url).catch(() => undefined);
    if (answer?.ok) return;
    await wait(100);
  }
  throw new Error(`${url} did not get ready`);
};

try {
  const client = openControl(control[0].address, { key: peerKey });
  await waitForControl(client);
  const applied = await client.propose(
    { type: 'applyConfig', changeId: 'first', operator: 'local', expectedVersion: 0, config },
    AbortSignal.timeout(5_000),
  );
  console.log('config applied:', JSON.stringify(applied));
  await waitForReady('http://127.0.0.1:7200/health/ready');
  await waitForReady('http://127.0.0.1:7201/health/ready');
  await wait(1_000);
  const messages = [
    { role: 'user', content: 'How thick is the asphalt base layer here?'.repeat(20) },
  ];
  for (const port of [7200, 7201, 7200]) {
    const answer = await fetch(`http://127.0.0.1:${port}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${accountKey}`, 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'reports', chat_id: 'chat-1', stream: true, messages }),
    });
    const text = await answer.text();
    const usage = /"usage":(\{.*?\}\})/.exec(text)?.[1];
    console.log(port, answer.status, answer.headers.get('x-endpoint'), usage ?? text);
  }
  client.close();
} finally {
  await launcher.stop(process.argv.includes('--keep'));
}
