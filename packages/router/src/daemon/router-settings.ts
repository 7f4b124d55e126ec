import en from 'zod/v4/locales/en.js';
import * as z from 'zod/mini';

// Error messages that state what is allowed; zod/mini has none by default.
z.config(en());

const address = z.string().check(z.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'allowed: IP:port'));
const port = z.number().check(z.int(), z.minimum(1), z.maximum(65_535));
const megabytes = z.pipe(
  z.string().check(z.regex(/^[\d.]*$/, 'allowed: a number of megabytes, or nothing')),
  z.transform((text) => (text === '' ? undefined : Number(text))),
);
const positive = z.number().check(z.positive());

/** A template leaves a text empty where the deployment has no value. */
const optionalNumber = z.pipe(
  z.union([z.number(), z.string().check(z.regex(/^[\d.]*$/, 'allowed: a number, or nothing'))]),
  z.transform((value) => (value === '' ? undefined : Number(value))),
);
const terms = z.pipe(
  z.string(),
  z.transform((text) => text.split(',').filter((name) => name !== '')),
);
const rolloutBounds = z.object({
  /** Share of a service's requests that a bad version may get before its deadline. */
  exposeShare: z.number().check(z.positive(), z.maximum(1)),
  /** Requests that it may get besides. Not used: quotas follow the share alone. */
  exposeSlack: z.number().check(z.nonnegative()),
  /**
   * Time after its 50th bad answer by which it must get no more requests, in milliseconds. Not used:
   * routers stop at their verdict.
   */
  rollbackMs: positive,
});
const rollouts = z.pipe(
  z.pipe(
    z.object({
      exposeShare: optionalNumber,
      exposeSlack: optionalNumber,
      rollbackMs: optionalNumber,
    }),
    z.transform((bounds) => (bounds.exposeShare === undefined ? undefined : bounds)),
  ),
  z.optional(rolloutBounds),
);

/** Settings of a router daemon; unknown keys are ignored. */
const RouterSettings = z.object({
  id: z.string().check(z.minLength(1)),
  dataCentre: z.string().check(z.minLength(1)),
  /** Whether the whole fleet starts for the first time, with empty disks. */
  isFirstStart: z.boolean(),
  /** Control addresses of daemons from which this one discovers the others. */
  seeds: z.array(address),
  ip: z.string().check(z.minLength(1)),
  /** First and last port for calls between daemons. */
  peerPorts: z.tuple([port, port]),
  listen: z.object({
    callers: address,
    readiness: address,
    control: address,
    /** Listen address for calls of other daemons when a proxy serves the address that they use. */
    peers: z.optional(address),
    /** Additional address that serves the metrics, besides the first port for peers. */
    metrics: z.optional(address),
  }),
  /** Memory that the process may use; unknown when absent or empty. */
  memoryLimitMb: z.optional(megabytes),
  /** Empty on a VM without a disk. */
  dataFolder: z.string(),
  /** How often endpoints announce themselves, in milliseconds. */
  announcePeriodMs: positive,
  /** Time from SIGTERM to the end of the process, in seconds. */
  graceS: positive,
  retries: z.object({
    /** Retries allowed per request. */
    ratio: z.number().check(z.nonnegative()),
    windowS: positive,
    /** Additional retries allowed per window, for all routers together. */
    extra: z.number().check(z.nonnegative()),
  }),
  /** Names of the terms that the deployment asks for, separated by commas. */
  terms: z.optional(terms),
  /** Bounds on roll-outs of a version; without them, or when they are empty, there are none. */
  rollouts: z.optional(rollouts),
  /** A cold endpoint can handle its rate times the multiplier, plus the slack, in any second. */
  coldEndpoints: z.object({
    multiplier: z.number().check(z.minimum(1)),
    slackPerS: z.number().check(z.nonnegative()),
  }),
});

type RouterSettings = z.infer<typeof RouterSettings>;

export { RouterSettings };
