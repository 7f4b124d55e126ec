import type { Announcement, Report } from '@vanillarelay/core';
import { z } from 'zod';
import { messageLimits } from './message-limits.js';

const nonEmptyText = z.string().min(1).max(messageLimits.textLength);
const nonNegativeInteger = z.int().min(0);

const announcement = z.strictObject({
  id: nonEmptyText,
  service: nonEmptyText,
  address: nonEmptyText,
  vm: nonEmptyText,
  dataCentre: nonEmptyText,
  incarnation: nonNegativeInteger,
  status: z.enum(['ready', 'cold', 'leaving']),
  slots: nonNegativeInteger,
  sequence: nonNegativeInteger,
  running: nonNegativeInteger,
});

/** Numbers by account: requests in a report, requests per second in gossip. */
const usage = z
  .record(nonEmptyText, z.number().min(0))
  .refine(
    (accounts) => Object.keys(accounts).length <= messageLimits.accounts,
    'too many accounts',
  );

const daemonFields = {
  daemon: nonEmptyText,
  role: z.enum(['entry', 'agent']),
  vm: nonEmptyText,
  dataCentre: nonEmptyText,
  address: nonEmptyText,
  incarnation: nonNegativeInteger,
  stateVersion: nonNegativeInteger,
  contact: z.enum(['attached', 'relayed', 'leaderless', 'isolated']),
  at: z.string().regex(/^\d{14}\.\d{5,}$/),
};

const report = z.strictObject({
  ...daemonFields,
  cursor: z.string().max(2 * messageLimits.textLength),
  services: z.array(nonEmptyText).max(messageLimits.services).optional(),
  announcement: announcement.optional(),
  usage: usage.optional(),
});

/** Schemas of a daemon's report and of the parts that other messages share. */
export const reportSchema = {
  announcement: announcement as unknown as z.ZodType<Announcement>,
  daemonRow: z.strictObject(daemonFields),
  report: report as unknown as z.ZodType<Report>,
  text: nonEmptyText,
  count: nonNegativeInteger,
  usage,
};
