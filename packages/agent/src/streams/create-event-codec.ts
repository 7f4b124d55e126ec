import { findCodeName, RelayError, ResultCode } from '@vanillarelay/core';
import type { ChunkCodec } from './chunk-codec.js';
import { createEventSplitter } from './create-event-splitter.js';
import { isSoundEvent } from './is-sound-event.js';
import { parseUsage } from './parse-usage.js';
import type { Usage } from './usage.js';

interface EventCodecOptions {
  /** The part of event ids before the sequence: ids are `agentId.streamId.sequence`. */
  idPrefix: string;
  /** Whether the last event must be `[DONE]`, as in model answers. */
  needsDone: boolean;
  reportUsage: (usage: Usage) => void;
}

const doneText = '[DONE]';

/** Creates the codec of server-sent events: it numbers them and detects an early end. */
export function createEventCodec(options: EventCodecOptions): ChunkCodec {
  const { idPrefix, needsDone, reportUsage } = options;
  const splitter = createEventSplitter();
  let isDone = false;

  const encode = (lines: string[], sequence: number): Uint8Array => {
    if (!isSoundEvent(lines))
      throw new RelayError(ResultCode.streamBroken, 'endpoint sent bytes that are no event');
    const data = readData(lines);
    if (data === doneText) isDone = true;
    const usage = parseUsage(data);
    if (usage) reportUsage(usage);
    const kept = lines.filter((line) => line !== 'id' && !line.startsWith('id:'));
    return Buffer.from(`id: ${idPrefix}.${sequence}\n${kept.join('\n')}\n\n`);
  };

  return {
    push: (chunk, sequence) =>
      splitter.push(chunk).map((lines, index) => encode(lines, sequence + index)),
    checkEnd: () =>
      splitter.hasIncompleteEvent() || (needsDone && !isDone)
        ? new RelayError(ResultCode.streamBroken, 'answer ended before its final event')
        : undefined,
    encodeError: (error, sequence) => {
      const { code, message, notRun } = error;
      const data = JSON.stringify({ error: { code, type: findCodeName(code), message, notRun } });
      return Buffer.from(`id: ${idPrefix}.${sequence}\nevent: error\ndata: ${data}\n\n`);
    },
  };
}

function readData(lines: string[]): string {
  return lines
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice('data:'.length).replace(/^ /, ''))
    .join('\n');
}
