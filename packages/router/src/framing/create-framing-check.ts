import { chooseBodyFraming } from './choose-body-framing.js';
import type { FieldLine } from './field-line.js';
import type { FramingCheck } from './framing-check.js';
import { parseFieldLine } from './parse-field-line.js';

/** What the next bytes of an answer belong to. */
type Section =
  | 'statusLine'
  | 'informationalFields'
  | 'fields'
  | 'chunkSize'
  | 'chunkData'
  | 'chunkEnd'
  | 'trailers'
  /** The rest is not checked: a body without chunks, or nothing of this answer. */
  | 'rest';

/**
 * Bytes that an endpoint may send until the head of its answer is complete, with informational heads
 * and blank lines; the same for its trailers, and for the line of a chunk's size.
 */
const maxSectionBytes = 64 * 1024;
const newline = 0x0a;
const lineEnd = '\r\n';
const hexadecimal = 16;
const statusLinePattern = /^HTTP\/\d\.\d (\d{3})(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const chunkSizePattern = /^([\da-f]{1,12})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?$/i;
const switchingStatus = 101;
const firstFinalStatus = 200;
const firstStatus = 100;
/** Statuses without a body. */
const bodilessStatuses: ReadonlySet<number> = new Set([switchingStatus, 204, 304]);

/**
 * Creates the check of the answer to a request: that its heads, chunks and trailers are HTTP/1.1 to
 * the letter (RFC 9112). Node's parser checks them too, but how strictly depends on its release.
 */
export function createFramingCheck(method: string): FramingCheck {
  let section: Section = 'statusLine';
  let hasNoBody = method === 'HEAD';
  const fields: FieldLine[] = [];
  let sectionBytes = 0;
  let chunkBytes = 0;
  /** What has arrived of a line. */
  let line = '';

  const checkStatusLine = (text: string): string | undefined => {
    // Blank lines before an answer are tolerated, as they are by the parser.
    if (text === '') return undefined;
    const status = Number(statusLinePattern.exec(text)?.[1] ?? NaN);
    if (Number.isNaN(status)) return 'no status line';
    const isInformational =
      status >= firstStatus && status < firstFinalStatus && status !== switchingStatus;
    section = isInformational ? 'informationalFields' : 'fields';
    hasNoBody ||= bodilessStatuses.has(status);
    return undefined;
  };

  const endHead = (): string | undefined => {
    const framing = chooseBodyFraming(fields);
    if (framing.type === 'invalid') return framing.fault;
    section = framing.type === 'chunked' && !hasNoBody ? 'chunkSize' : 'rest';
    sectionBytes = 0;
    return undefined;
  };

  /** Checks a line of a section of fields, which an empty line ends. */
  const checkField = (text: string, end: () => string | undefined): string | undefined => {
    if (text === '') return end();
    const field = parseFieldLine(text);
    if (!field) return 'a line that is no field';
    if (section === 'fields') fields.push(field);
    return undefined;
  };

  const checkChunkSize = (text: string): string | undefined => {
    const [, size] = chunkSizePattern.exec(text) ?? [];
    if (size === undefined) return 'no size of a chunk';
    chunkBytes = Number.parseInt(size, hexadecimal);
    section = chunkBytes === 0 ? 'trailers' : 'chunkData';
    sectionBytes = 0;
    return undefined;
  };

  const startSection = (next: Section): undefined => {
    section = next;
  };

  const checkLine = (text: string): string | undefined => {
    switch (section) {
      case 'statusLine':
        return checkStatusLine(text);
      case 'informationalFields':
        return checkField(text, () => startSection('statusLine'));
      case 'fields':
        return checkField(text, endHead);
      case 'chunkSize':
        return checkChunkSize(text);
      case 'chunkEnd':
        return text === '' ? startSection('chunkSize') : 'a chunk that is longer than its size';
      default:
        return checkField(text, () => startSection('rest'));
    }
  };

  /** Takes bytes of a chunk, unread; returns the offset behind them. */
  const takeChunkData = (bytes: Buffer, at: number): number => {
    const taken = Math.min(chunkBytes, bytes.length - at);
    chunkBytes -= taken;
    if (chunkBytes === 0) section = 'chunkEnd';
    return at + taken;
  };

  /** Takes bytes of a line, up to its end or the last ones, and checks the line when it is whole. */
  const takeLine = (bytes: Buffer, at: number, end: number): string | undefined => {
    sectionBytes += end - at;
    if (sectionBytes > maxSectionBytes) return 'a head, trailer or chunk size without an end';
    line += bytes.toString('latin1', at, end);
    if (bytes[end - 1] !== newline) return undefined;
    if (!line.endsWith(lineEnd)) return 'a line that ends without CR';
    const whole = line.slice(0, -lineEnd.length);
    line = '';
    return checkLine(whole);
  };

  const push = (bytes: Buffer): string | undefined => {
    let at = 0;
    let fault: string | undefined;
    while (at < bytes.length && section !== 'rest' && fault === undefined) {
      if (section === 'chunkData') at = takeChunkData(bytes, at);
      else {
        const newlineAt = bytes.indexOf(newline, at);
        const end = newlineAt < 0 ? bytes.length : newlineAt + 1;
        fault = takeLine(bytes, at, end);
        at = end;
      }
    }
    return fault;
  };

  return {
    push,
    hasHead: () => !['statusLine', 'informationalFields', 'fields'].includes(section),
    isDone: () => section === 'rest',
  };
}
