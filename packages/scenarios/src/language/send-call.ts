import type { createEntry } from '@vanillarelay/entry';
import type { Call } from './call.js';
import type { World } from './world.js';

type Handle = ReturnType<typeof createEntry>['handle'];
type CallerRequest = Parameters<Handle>[0];

const authorizationHeader = { authorization: 'Bearer scenario-key' };

/** Sends one request through an entry and records the answer. */
export async function sendCall(
  world: World,
  name: string,
  type: Call['type'],
  via: string,
  deadlineMs?: string,
) {
  const { virtual, network, entries } = world.context;
  const caller = virtual.createProcess('caller');
  const entry = network.open(caller, () => entries.get(via));
  const call: Call = { name, type, via, sentAt: virtual.clock.monotonic() };
  world.calls.push(call);
  const request = buildRequest(call);
  if (deadlineMs) request.headers['x-deadline-ms'] = deadlineMs;
  try {
    const reply = await entry.handle(request, new AbortController().signal);
    call.status = reply.status;
    call.text = '';
    for await (const chunk of reply.body) call.text += Buffer.from(chunk).toString('utf8');
    recordProblem(call, reply.headers['content-type'] ?? '', call.text);
  } catch {
    // Without the end marker of streams, a caller takes a cut stream for a complete answer.
    const isBreakHidden = call.status === 200 && world.context.without.has('streamEnd');
    call.status ??= 0;
    call.isBroken = !isBreakHidden;
  }
  call.endedAt = virtual.clock.monotonic();
  return call;
}

function recordProblem(call: Call, contentType: string, text: string): void {
  if (contentType !== 'application/problem+json') return;
  const problem = JSON.parse(text) as { code: number; notRun: boolean };
  call.code = problem.code;
  call.notRun = problem.notRun;
}

function buildRequest({ type, name }: Call): CallerRequest {
  if (type === 'lookup') {
    const path = `/services/notices/permits/${name}`;
    return { method: 'GET', path, headers: { ...authorizationHeader }, body: new Uint8Array() };
  }
  if (type === 'chat') {
    const content = `How thick is the base layer at patch ${name}? `.repeat(10);
    const messages = [{ role: 'user', content }];
    const body = { model: 'reports', chat_id: name, stream: true, messages };
    const headers = { ...authorizationHeader, 'content-type': 'application/json' };
    const path = '/v1/chat/completions';
    return { method: 'POST', path, headers, body: Buffer.from(JSON.stringify(body)) };
  }
  const isNotice = type === 'notice';
  return {
    method: 'POST',
    path: `/services/notices/${isNotice ? 'notices' : 'photos'}/${name}`,
    headers: { ...authorizationHeader, ...(isNotice ? { 'idempotency-key': name } : {}) },
    body: Buffer.from(`{"name":"${name}"}`),
  };
}
