import { RelayError, ResultCode } from '@vanillarelay/core';
import { Agent, fetch } from 'undici';
import type { ControlAnswer } from './control-answer.js';
import type { ControlCall } from './control-call.js';

/** Time limit of one call; after it, another daemon is called. */
const callTimeoutMs = 1_000;

/** The client of the package: how strictly the one of Node reads answers depends on its release. */
const dispatcher = new Agent();

/** Calls the control API of a router daemon; rejects with `connectionFailed` without an answer. */
export async function callControl(
  address: string,
  { method, path, body }: ControlCall,
): Promise<ControlAnswer> {
  const signal = AbortSignal.timeout(callTimeoutMs);
  try {
    const answer = await fetch(`http://${address}${path}`, {
      ...{ method, body: body ?? null, signal, dispatcher },
    });
    return { status: answer.status, body: await answer.text() };
  } catch (cause) {
    const { message } = ((cause as Error).cause ?? cause) as Error;
    throw new RelayError(ResultCode.connectionFailed, `${address}: ${message}`, { cause });
  }
}
