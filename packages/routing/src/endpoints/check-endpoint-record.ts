import { RelayError, ResultCode } from '@vanillarelay/core';
import en from 'zod/v4/locales/en.js';
import * as z from 'zod/mini';
import type { EndpointRecord } from './endpoint-record.js';

// Error messages that state what is allowed; zod/mini has none by default.
z.config(en());

const maxNameLength = 256;
const maxPort = 65_535;
const maxSlots = 1_000_000;
const maxColdMs = 3_600_000;
/** The year 2100, in milliseconds since the epoch; a later start is in another unit. */
const maxStart = 4_102_444_800_000;

const name = z.string().check(z.minLength(1), z.maxLength(maxNameLength));
const count = z.number().check(z.int(), z.nonnegative());

/** An id becomes the value of a header and a key of objects that daemons exchange. */
const id = name.check(
  z.regex(/^[\x21-\x7e]+$/, 'allowed: printable ASCII without spaces'),
  z.refine((value) => !(value in Object.prototype), 'the name is reserved'),
);

const address = z
  .string()
  .check(z.refine(isUnicastAddress, `allowed: a unicast IPv4 address and a port up to ${maxPort}`));

const schema = z.object({
  ...{ id, bornAt: count.check(z.maximum(maxStart)), sequence: count },
  ...{ service: name, address, dataCentre: name },
  slots: count.check(z.minimum(1), z.maximum(maxSlots)),
  version: z.optional(name),
  state: z.enum(['ready', 'leaving', 'gone']),
  coldLeftMs: z.number().check(z.nonnegative(), z.maximum(maxColdMs)),
  isSilent: z.optional(z.boolean()),
  isAddressContested: z.optional(z.boolean()),
});

/**
 * Checks an endpoint record that comes from outside this process: from an endpoint, another daemon
 * or the disk. Throws `malformedMessage` with the first field that is not valid.
 */
export function checkEndpointRecord(value: unknown): EndpointRecord {
  const checked = schema.safeParse(value);
  if (checked.success) return checked.data as EndpointRecord;
  const [issue] = checked.error.issues;
  const message = `endpoint record: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`;
  throw new RelayError(ResultCode.malformedMessage, message, { notRun: true });
}

function isUnicastAddress(value: string): boolean {
  const parts = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(value);
  if (!parts) return false;
  const [first = 0, ...others] = parts.slice(1, 5).map(Number);
  const port = Number(parts[5]);
  return (
    first >= 1 &&
    first <= 223 &&
    others.every((part) => part <= 255) &&
    port >= 1 &&
    port <= maxPort
  );
}
