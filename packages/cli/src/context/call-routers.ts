import { checkValue, OperatorSettings } from '@vanillarelay/config';
import { RelayError, ResultCode } from '@vanillarelay/core';
import type { CliContext } from './cli-context.js';
import type { ControlCall } from './control-call.js';

const ControlAddresses = OperatorSettings.pick({ control: true });
/**
 * Calls of one order. With their time limit and the pauses between them they end within the time
 * for which a router daemon takes an order as a repeat.
 */
const maxCalls = 4;
const retryPauseMs = 250;
const unavailableStatus = 503;

const resultCodes: Partial<Record<number, ResultCode>> = {
  400: ResultCode.malformedRequest,
  404: ResultCode.unknownTarget,
  409: ResultCode.rolloutConflict,
};

/**
 * Calls router daemons in turn until one answers with a result; returns the text of its answer.
 * Throws if the call is refused.
 */
export async function callRouters(
  context: Pick<CliContext, 'callControl' | 'wait'>,
  control: string,
  call: ControlCall,
): Promise<string> {
  const value = { control: control.split(',') };
  const { control: addresses } = checkValue(ControlAddresses, value, ResultCode.invalidSettings);
  let failure: unknown;
  for (let count = 0; count < maxCalls; count += 1) {
    if (count > 0) await context.wait(retryPauseMs);
    const address = addresses[count % addresses.length] ?? '';
    try {
      const { status, body } = await context.callControl(address, call);
      if (status === 200) return body;
      failure = buildError(address, status, body);
      if (status !== unavailableStatus) break;
    } catch (error) {
      failure = error;
    }
  }
  throw failure;
}

function buildError(address: string, status: number, body: string): RelayError {
  const code = resultCodes[status] ?? ResultCode.noQuorum;
  return new RelayError(code, `${address} answered ${status}: ${findReason(body) ?? body}`, {
    notRun: resultCodes[status] !== undefined,
  });
}

function findReason(body: string): string | undefined {
  try {
    const { Error: reason } = JSON.parse(body) as { Error?: unknown };
    return typeof reason === 'string' ? reason : undefined;
  } catch {
    return undefined;
  }
}
