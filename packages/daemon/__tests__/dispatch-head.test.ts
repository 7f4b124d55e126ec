import type { DispatchRequest } from '@vanillarelay/core';
import { DispatchHead } from '@vanillarelay/daemon';
import { expect, it } from 'vitest';

// Guards against a field that entries send and the agent's schema refuses. Because of its type, the
// value below does not compile when a dispatch has a new field.
it('accepts a dispatch with every field', () => {
  const head: Required<Omit<DispatchRequest, 'body'>> = {
    requestId: 'r1' as never,
    attemptId: 'a1' as never,
    account: 'inspectors' as never,
    service: 'reports' as never,
    kind: 'report',
    idempotent: true,
    mustArrive: false,
    priority: 4,
    remainingMs: 30_000,
    patienceMs: 250.5,
    chat: 'chat-1' as never,
    resumable: true,
    takeOver: true,
    idempotencyKey: 'notice-1',
    bodyHash: 'h1',
    fingerprint: 'f1' as never,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json' },
    stateVersion: 7,
    at: '00000001700000.00000' as never,
  };
  expect(DispatchHead.parse(head)).toEqual(head);
});
