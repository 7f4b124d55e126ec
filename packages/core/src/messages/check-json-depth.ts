import { RelayError } from '../errors/relay-error.js';
import { ResultCode } from '../errors/result-code.js';

/** Nesting that no message needs; the memory for parsing grows with the nesting. */
const maxDepth = 64;

const quote = 0x22;
const backslash = 0x5c;
const openBracket = 0x5b;
const closeBracket = 0x5d;
const openBrace = 0x7b;
const closeBrace = 0x7d;

/** Throws `malformedMessage` when JSON text is nested too deeply to be parsed. */
export function checkJsonDepth(json: Uint8Array): void {
  let depth = 0;
  let isString = false;
  for (let index = 0; index < json.length; index += 1) {
    const byte = json[index];
    if (isString) {
      if (byte === backslash) index += 1;
      else if (byte === quote) isString = false;
    } else if (byte === quote) isString = true;
    else if (byte === openBracket || byte === openBrace) depth += 1;
    else if (byte === closeBracket || byte === closeBrace) depth -= 1;
    if (depth > maxDepth) {
      const message = `the message is nested more than ${maxDepth} levels deep`;
      throw new RelayError(ResultCode.malformedMessage, message, { notRun: true });
    }
  }
}
