import type { Announcement, Report } from '@vanillarelay/core';
import { z } from 'zod';
import { messageLimits } from './message-limits.js';

const text = z.string().min(1).max(messageLimits.textLength);
const count = z.int().min(0);

const announcement = z.strictObject({
  id: text,
  service: text,
  address: text,
  vm: text,
  dataCentre: text,
  incarnation: count,
  status: z.enum(['ready', 'cold', 'leaving']),
  slots: count,
  sequence: count,
  running: count,
});

const usage = z
  .record(text, z.number().min(0))
  .refine(
    (accounts) => Object.keys(accounts).length <= messageLimits.accounts,
    'too many accounts',
  );

const daemonFields = {
  daemon: text,
  role: z.enum(['entry', 'agent']),
  vm: text,
  dataCentre: text,
  address: text,
  incarnation: count,
  stateVersion: count,
  contact: z.enum(['attached', 'relayed', 'leaderless', 'isolated']),
  at: z.string().regex(/^\d{14}\.\d{5,}$/),
};

const report = z.strictObject({
  ...daemonFields,
  cursor: z.string().max(2 * messageLimits.textLength),
  services: z.array(text).max(messageLimits.services).optional(),
  announcement: announcement.optional(),
  usage: usage.optional(),
});

/** Schemas of a daemon's report and of the parts that other messages share. */
export const reportSchema = {
  announcement: announcement as unknown as z.ZodType<Announcement>,
  daemonRow: z.strictObject(daemonFields),
  report: report as unknown as z.ZodType<Report>,
  text,
  count,
  usage,
};
