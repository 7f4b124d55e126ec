import type { FleetConfig } from '@vanillarelay/core';
import { z } from 'zod';
import { addDuplicateIssues } from './add-duplicate-issues.js';
import { name } from './name.js';

const maxDeadlineMs = 86_400_000;

const requestKind = z.strictObject({
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
  pathPrefix: z.string().startsWith('/', { error: 'a path that begins with /' }),
  idempotent: z.boolean(),
  mustArrive: z.boolean(),
  priority: z.int().min(0).max(9),
  deadlineMs: z.int().min(1).max(maxDeadlineMs),
});

const service = z.strictObject({
  type: z.enum(['model', 'plain']),
  loadMultiple: z.number().min(1).max(100),
  coldLimit: z.int().min(1).max(1_000),
  firstByteMs: z.int().min(1).max(600_000),
  kinds: z.record(z.string().min(1), requestKind),
});

const account = z.strictObject({
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, { error: 'SHA-256 as 64 hexadecimal digits' }))
    .min(1),
  requestsPerSecond: z.number().positive(),
  services: z.array(name),
});

const config = z
  .strictObject({
    dataCentres: z.record(name, z.strictObject({ region: z.string().min(1) })),
    services: z.record(name, service),
    accounts: z.record(name, account),
    concurrentLoads: z.int().min(1),
  })
  .superRefine(({ services, accounts }, context) => {
    const occurrences = Object.entries(accounts).flatMap(([id, { keyHashes }]) =>
      keyHashes.map((value, index) => ({ value, path: ['accounts', id, 'keyHashes', index] })),
    );
    addDuplicateIssues(
      context,
      'a key that no other account has',
      occurrences,
      (occurrence) => occurrence,
    );
    Object.entries(accounts).forEach(([id, { services: allowed }]) => {
      allowed.forEach((serviceName, index) => {
        if (services[serviceName]) return;
        context.addIssue({
          code: 'custom',
          path: ['accounts', id, 'services', index],
          message: `a service of this configuration: ${Object.keys(services).join(', ') || 'none'}`,
        });
      });
    });
  });

/** Schema of the fleet configuration. */
export const fleetConfigSchema = config as unknown as z.ZodType<FleetConfig>;
