import { RelayError, ResultCode, type RecordView } from '@vanillarelay/core';
import type { RunResult } from './run-result.js';

/** Builds the result from the stored answer of an earlier run; throws when there is none. */
export function buildReplay({ status, answer }: RecordView): RunResult {
  if (status === 'unkept') {
    throw new RelayError(
      ResultCode.answerNotKept,
      'request has run, its answer is no longer stored',
    );
  }
  if (status !== 'done' || !answer) {
    throw new RelayError(ResultCode.outcomeUnknown, 'request may have run, its outcome is unknown');
  }
  async function* writeBody(body: string) {
    yield Buffer.from(body, 'base64');
  }
  return {
    type: 'answer',
    status: answer.status,
    headers: { 'content-type': answer.contentType },
    replayed: true,
    body: writeBody(answer.body),
  };
}
