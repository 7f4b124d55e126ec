import { findCodeName, type Refusal, type RequestId } from '@vanillarelay/core';

/** Formats an error as a server-sent event, in the form that OpenAI clients expect. */
export function formatErrorEvent(refusal: Refusal, requestId: RequestId): Uint8Array {
  const error = {
    message: refusal.message,
    type: findCodeName(refusal.code),
    code: refusal.code,
    notRun: false,
    requestId,
  };
  return Buffer.from(`event: error\ndata: ${JSON.stringify({ error })}\n\n`);
}
