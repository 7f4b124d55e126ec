import type { FleetConfig } from '@vanillarelay/core';
import { z } from 'zod';

const requestKind = z.strictObject({
  methods: z.array(z.string()).min(1),
  pathPrefix: z.string().startsWith('/'),
  idempotent: z.boolean(),
  mustArrive: z.boolean(),
  priority: z.int().min(0).max(9),
  deadlineMs: z.int().min(1).max(86_400_000),
});

const service = z.strictObject({
  type: z.enum(['model', 'plain']),
  loadMultiple: z.number().min(1).max(100),
  coldLimit: z.int().min(1).max(1_000),
  firstByteMs: z.int().min(1).max(600_000),
  kinds: z.record(z.string().min(1), requestKind),
});

const account = z.strictObject({
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
  requestsPerSecond: z.number().positive(),
  services: z.array(z.string().min(1)),
});

/** Schema of the fleet configuration. */
export const fleetConfigSchema: z.ZodType<FleetConfig> = z.strictObject({
  dataCentres: z.record(z.string().min(1), z.strictObject({ region: z.string().min(1) })),
  services: z.record(z.string().min(1), service),
  accounts: z.record(z.string().min(1), account),
  concurrentLoads: z.int().min(1),
}) as unknown as z.ZodType<FleetConfig>;
