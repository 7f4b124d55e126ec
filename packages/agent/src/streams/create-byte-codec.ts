import { RelayError, ResultCode } from '@vanillarelay/core';
import type { ChunkCodec } from './chunk-codec.js';
import { parseUsage } from './parse-usage.js';
import type { Usage } from './usage.js';

interface ByteCodecOptions {
  /** Body length that the endpoint declared; undefined when it declared none. */
  expectedBytes: number | undefined;
  /** Set for JSON answers of models. */
  reportUsage?: (usage: Usage) => void;
}

/** Larger answers are not searched for usage. */
const usageLimitBytes = 256 * 1024;

/** Creates the codec of a body that is passed on unchanged. */
export function createByteCodec({ expectedBytes, reportUsage }: ByteCodecOptions): ChunkCodec {
  const kept: Uint8Array[] = [];
  let size = 0;

  const checkEnd = (): RelayError | undefined => {
    if (expectedBytes !== undefined && size !== expectedBytes) {
      const message = `answer ended after ${size} of ${expectedBytes} bytes`;
      return new RelayError(ResultCode.streamBroken, message);
    }
    if (!reportUsage || size > usageLimitBytes) return undefined;
    const usage = parseUsage(Buffer.concat(kept).toString('utf8'));
    if (usage) reportUsage(usage);
    return undefined;
  };

  return {
    push: (chunk) => {
      size += chunk.length;
      if (reportUsage && size <= usageLimitBytes) kept.push(chunk);
      return [chunk];
    },
    checkEnd,
    encodeError: () => undefined,
  };
}
