import { fleetConfigSchema } from '@vanillarelay/config';
import type { Command } from '@vanillarelay/core';
import { z } from 'zod';
import { messageLimits } from './message-limits.js';
import { reportSchema } from './report-schema.js';

const { text: nonEmptyText, count: nonNegativeInteger } = reportSchema;
const base64 = z.string().regex(/^[A-Za-z0-9+/]*={0,2}$/);
/** Maximum length of a recorded answer, in base64 characters. */
const maxAnswerLength = 96 * 1024;
const maxLeaseMs = 60 * 60 * 1000;
const maxFingerprints = 10_000;
const maxBatchSize = 1_000;

const changeFields = { changeId: nonEmptyText, operator: nonEmptyText };
const operatorCommand = z.discriminatedUnion('type', [
  z.strictObject({
    ...changeFields,
    type: z.literal('applyConfig'),
    expectedVersion: nonNegativeInteger,
    config: fleetConfigSchema,
  }),
  z.strictObject({
    ...changeFields,
    type: z.literal('takeOutDataCentre'),
    dataCentre: nonEmptyText,
  }),
  z.strictObject({
    ...changeFields,
    type: z.literal('bringBackDataCentre'),
    dataCentre: nonEmptyText,
  }),
  z.strictObject({
    ...changeFields,
    type: z.literal('drainEndpoint'),
    endpoint: nonEmptyText,
    draining: z.boolean(),
  }),
  z.strictObject({ ...changeFields, type: z.literal('liftMark'), fingerprint: nonEmptyText }),
  z.strictObject({
    ...changeFields,
    type: z.literal('orderEngine'),
    endpoint: nonEmptyText,
    action: z.enum(['loadModel', 'loadAdapter', 'changeRole']),
    target: nonEmptyText,
  }),
]);

const recordFields = { account: nonEmptyText, key: nonEmptyText };
const recordCommand = z.discriminatedUnion('type', [
  z.strictObject({
    ...recordFields,
    type: z.literal('claim'),
    bodyHash: nonEmptyText,
    attemptId: nonEmptyText,
    endpoint: nonEmptyText,
    incarnation: nonNegativeInteger,
    nonce: nonEmptyText,
  }),
  z.strictObject({
    ...recordFields,
    type: z.literal('complete'),
    nonce: nonEmptyText,
    status: z.int().min(100).max(599),
    contentType: z.string().max(messageLimits.textLength),
    answer: base64.max(maxAnswerLength).optional(),
  }),
  z.strictObject({
    ...recordFields,
    type: z.literal('abandon'),
    nonce: nonEmptyText,
    ran: z.boolean(),
  }),
  z.strictObject({ ...recordFields, type: z.literal('void'), attemptId: nonEmptyText }),
]);

const endpointCommand = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('reportCrash'),
    endpoint: nonEmptyText,
    incarnation: nonNegativeInteger,
    fingerprints: z.array(nonEmptyText).max(maxFingerprints),
    crashId: nonEmptyText.optional(),
  }),
  z.strictObject({ type: z.literal('clearMark'), fingerprint: nonEmptyText }),
  z.strictObject({
    type: z.literal('takePermit'),
    endpoint: nonEmptyText,
    leaseMs: z.int().min(1).max(maxLeaseMs),
  }),
  z.strictObject({ type: z.literal('releasePermit'), endpoint: nonEmptyText }),
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
