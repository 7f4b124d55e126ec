import type { EndpointAnswer, ServiceConfig } from '@vanillarelay/core';
import type { ChunkCodec } from '../streams/chunk-codec.js';
import { createByteCodec } from '../streams/create-byte-codec.js';
import { createEventCodec } from '../streams/create-event-codec.js';
import type { Usage } from '../streams/usage.js';

interface CodecOptions {
  answer: EndpointAnswer;
  serviceType: ServiceConfig['type'] | undefined;
  idPrefix: string;
  method: string;
  reportUsage: (usage: Usage) => void;
}

/** Creates the codec that fits an answer's content type. */
export function createCodec(options: CodecOptions): ChunkCodec & { isEvents: boolean } {
  const { answer, serviceType, idPrefix, method, reportUsage } = options;
  const isModel = serviceType === 'model';
  if (answer.headers['content-type']?.startsWith('text/event-stream')) {
    const needsDone = isModel && answer.status < 300;
    return { ...createEventCodec({ idPrefix, needsDone, reportUsage }), isEvents: true };
  }
  const length = answer.headers['content-length'];
  const hasBody = method !== 'HEAD' && answer.status !== 304;
  const expectedBytes = length !== undefined && hasBody ? Number(length) : undefined;
  return {
    ...createByteCodec({ expectedBytes, ...(isModel ? { reportUsage } : {}) }),
    isEvents: false,
  };
}
