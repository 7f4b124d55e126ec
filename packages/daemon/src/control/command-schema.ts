import { fleetConfigSchema } from '@vanillarelay/config';
import type { Command } from '@vanillarelay/core';
import { z } from 'zod';
import { messageLimits } from './message-limits.js';
import { reportSchema } from './report-schema.js';

const { text, count } = reportSchema;
const base64 = z.string().regex(/^[A-Za-z0-9+/]*={0,2}$/);
const maxAnswerLength = 96 * 1024;
const maxLeaseMs = 60 * 60 * 1000;
const maxFingerprints = 10_000;
const maxBatchSize = 1_000;

const change = { changeId: text, operator: text };
const operatorCommand = z.discriminatedUnion('type', [
  z.strictObject({
    ...change,
    type: z.literal('applyConfig'),
    expectedVersion: count,
    config: fleetConfigSchema,
  }),
  z.strictObject({ ...change, type: z.literal('takeOutDataCentre'), dataCentre: text }),
  z.strictObject({ ...change, type: z.literal('bringBackDataCentre'), dataCentre: text }),
  z.strictObject({
    ...change,
    type: z.literal('drainEndpoint'),
    endpoint: text,
    draining: z.boolean(),
  }),
  z.strictObject({ ...change, type: z.literal('liftMark'), fingerprint: text }),
  z.strictObject({
    ...change,
    type: z.literal('orderEngine'),
    endpoint: text,
    action: z.enum(['loadModel', 'loadAdapter', 'changeRole']),
    target: text,
  }),
]);

const record = { account: text, key: text };
const recordCommand = z.discriminatedUnion('type', [
  z.strictObject({
    ...record,
    type: z.literal('claim'),
    bodyHash: text,
    attemptId: text,
    endpoint: text,
    incarnation: count,
    nonce: text,
  }),
  z.strictObject({
    ...record,
    type: z.literal('complete'),
    nonce: text,
    status: z.int().min(100).max(599),
    contentType: z.string().max(messageLimits.textLength),
    answer: base64.max(maxAnswerLength).optional(),
  }),
  z.strictObject({ ...record, type: z.literal('abandon'), nonce: text, ran: z.boolean() }),
  z.strictObject({ ...record, type: z.literal('void'), attemptId: text }),
]);

const endpointCommand = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('reportCrash'),
    endpoint: text,
    incarnation: count,
    fingerprints: z.array(text).max(maxFingerprints),
    crashId: text.optional(),
  }),
  z.strictObject({ type: z.literal('clearMark'), fingerprint: text }),
  z.strictObject({
    type: z.literal('takePermit'),
    endpoint: text,
    leaseMs: z.int().min(1).max(maxLeaseMs),
  }),
  z.strictObject({ type: z.literal('releasePermit'), endpoint: text }),
]);

const batch = z.strictObject({
  type: z.literal('batch'),
  commands: z.array(recordCommand).min(1).max(maxBatchSize),
});

/** Schema of a command to the replicated log. */
export const commandSchema = z.discriminatedUnion('type', [
  operatorCommand,
  recordCommand,
  endpointCommand,
  batch,
]) as unknown as z.ZodType<Command>;
