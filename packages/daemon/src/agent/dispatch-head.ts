import type { DispatchRequest } from '@vanillarelay/core';
import { z } from 'zod';

const id = z.string().min(1).max(256);
const maxHeaders = 100;
const maxHeaderValueLength = 16 * 1024;

/** The part of a dispatch that is sent in a header; its body is the HTTP body. */
type DispatchHead = Omit<DispatchRequest, 'body'>;

const DispatchHead = z.strictObject({
  requestId: id,
  attemptId: id,
  account: id,
  service: id,
  kind: id,
  idempotent: z.boolean(),
  mustArrive: z.boolean(),
  priority: z.int().min(0).max(9),
  remainingMs: z.number().min(0).max(86_400_000),
  patienceMs: z.number().min(0).max(86_400_000).optional(),
  chat: z.string().min(1).max(1024).optional(),
  resumable: z.boolean(),
  takeOver: z.boolean(),
  idempotencyKey: id.optional(),
  bodyHash: id,
  fingerprint: id,
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']),
  path: z.string().startsWith('/').max(8_192),
  headers: z
    .record(z.string().max(256), z.string().max(maxHeaderValueLength))
    .refine((headers) => Object.keys(headers).length <= maxHeaders, 'too many headers'),
  stateVersion: z.int().min(0),
  at: z.string().regex(/^\d{1,20}\.\d{1,10}$/),
}) as unknown as z.ZodType<DispatchHead>;

/** Head of a dispatch: the schema and its type. */
export { DispatchHead };
