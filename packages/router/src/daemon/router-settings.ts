import en from 'zod/v4/locales/en.js';
import * as z from 'zod/mini';

// Messages that name what is allowed; the small build of zod has none of its own.
z.config(en());

const address = z.string().check(z.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'allowed: IP:port'));
const port = z.number().check(z.int(), z.minimum(1), z.maximum(65_535));
const positive = z.number().check(z.positive());

/** Settings of a router daemon; unknown keys are ignored. */
const RouterSettings = z.object({
  id: z.string().check(z.minLength(1)),
  dataCentre: z.string().check(z.minLength(1)),
  /** Whether the whole fleet starts for the first time, with empty disks. */
  isFirstStart: z.boolean(),
  /** Control addresses of daemons that may know the others. */
  seeds: z.array(address),
  ip: z.string().check(z.minLength(1)),
  /** First and last port for calls between daemons. */
  peerPorts: z.tuple([port, port]),
  listen: z.object({
    callers: address,
    readiness: address,
    control: address,
    /** Where calls of other daemons arrive when a proxy stands at the address that they use. */
    peers: z.optional(address),
    /** Serves the metrics, besides the first port for peers. */
    metrics: z.optional(address),
  }),
  /** Empty on a VM without a disk. */
  dataFolder: z.string(),
  /** How often endpoints announce themselves, in milliseconds. */
  announcePeriodMs: positive,
  /** Time from SIGTERM to the end of the process, in seconds. */
  graceS: positive,
  retries: z.object({
    /** Repeats allowed for each request. */
    ratio: z.number().check(z.nonnegative()),
    windowS: positive,
    /** Repeats allowed on top in each window, for all routers together. */
    extra: z.number().check(z.nonnegative()),
  }),
  /** What a cold endpoint bears in any second: its rate times the multiplier, plus the slack. */
  coldEndpoints: z.object({
    multiplier: z.number().check(z.minimum(1)),
    slackPerS: z.number().check(z.nonnegative()),
  }),
});

type RouterSettings = z.infer<typeof RouterSettings>;

export { RouterSettings };
