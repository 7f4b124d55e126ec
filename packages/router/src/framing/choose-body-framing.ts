import { isChunked } from '@vanillarelay/daemon';
import type { BodyFraming } from './body-framing.js';
import type { FieldLine } from './field-line.js';

const lengthPattern = /^[\t ]*\d+[\t ]*$/;

/** Chooses how the body of an answer is framed (RFC 9112, section 6.3). */
export function chooseBodyFraming(fields: readonly FieldLine[]): BodyFraming {
  const listValues = (wanted: string): string[] =>
    fields.filter(({ name }) => name === wanted).map(({ value }) => value);
  const lengths = listValues('content-length');
  const codings = listValues('transfer-encoding');
  if (lengths.length > 1) return { type: 'invalid', fault: 'two lengths' };
  if (lengths.some((length) => !lengthPattern.test(length)))
    return { type: 'invalid', fault: 'a length that is no number' };
  const [coding] = codings;
  if (coding === undefined) return { type: 'unchunked' };
  if (lengths.length > 0) return { type: 'invalid', fault: 'a length beside a transfer coding' };
  if (codings.length > 1 || !isChunked(coding))
    return { type: 'invalid', fault: 'a transfer coding other than chunked' };
  return { type: 'chunked' };
}
