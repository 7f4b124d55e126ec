import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { observeFraming } from '../framing/observe-framing.js';
import { CallFailure } from './call-failure.js';
import type { EndpointAnswer } from './endpoint-answer.js';
import type { EndpointCall } from './endpoint-call.js';
import { isParseError } from './is-parse-error.js';
import { openRequest } from './open-request.js';
import { settleUnframedEnd } from './settle-unframed-end.js';

/**
 * Time limit for a connection to be established. Endpoints are a few milliseconds away at most, and
 * a lost SYN is resent only after seconds.
 */
const connectTimeoutMs = 350;

/**
 * Sends a request to an endpoint; resolves with the answer once its head has been received. A reset
 * that closely follows the last bytes is reported as an ordinary end of the connection and becomes
 * visible only through a write, so `checkEnd` writes an empty chunk when the connection ends.
 */
export function callEndpoint(call: EndpointCall): Promise<EndpointAnswer> {
  const { body, signal, startHeadTimer, waitForTurn } = call;
  return new Promise((resolve, reject) => {
    let isSent = false;
    let failure: CallFailure | undefined;
    let answered: IncomingMessage | undefined;
    let connectTimer: NodeJS.Timeout | undefined;
    let cancelHeadTimer = () => {};
    const outgoing = openRequest(call);

    const fail = (kind: CallFailure['kind'], message: string): void => {
      failure = new CallFailure(kind, isSent, message);
      outgoing.destroy(failure);
    };
    const cancel = () => fail('cancelled', 'the call was cancelled');
    const startConnectTimer = (): void => {
      const message = `connectTimeout after ${connectTimeoutMs} ms`;
      connectTimer = setTimeout(() => fail('connectTimeout', message), connectTimeoutMs);
    };
    const settle = (): void => {
      clearTimeout(connectTimer);
      cancelHeadTimer();
      signal.removeEventListener('abort', cancel);
    };
    const send = (): void => {
      if (failure) return;
      isSent = true;
      const abandon = () => fail('silent', 'no answer in time');
      if (startHeadTimer) cancelHeadTimer = startHeadTimer(abandon);
      outgoing.end(body);
    };

    const checkEnd = function (this: Socket): void {
      this.write('', (error) => {
        if (error) answered?.destroy(new CallFailure('broken', true, 'connection reset'));
      });
    };

    outgoing.once('socket', (socket) => {
      socket.prependListener('end', checkEnd);
      outgoing.once('close', () => socket.removeListener('end', checkEnd));
      if (!socket.connecting) {
        send();
        return;
      }
      startConnectTimer();
      socket.once('connect', () => {
        clearTimeout(connectTimer);
        void waitForTurn().then(send);
      });
    });
    observeFraming(outgoing, (fault) => {
      failure ??= new CallFailure(isSent ? 'spoilt' : 'refused', isSent, fault);
      return failure;
    });
    outgoing.once('response', (answer) => {
      if (failure) return;
      settle();
      answered = answer;
      settleUnframedEnd(answer, body.length);
      const cancelAnswer = () => answer.destroy(new CallFailure('cancelled', true, 'cancelled'));
      signal.addEventListener('abort', cancelAnswer, { once: true });
      answer.once('close', () => signal.removeEventListener('abort', cancelAnswer));
      resolve({ message: answer, isConnectionReused: outgoing.reusedSocket });
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      settle();
      const sentKind = isParseError(error) ? 'spoilt' : 'broken';
      const kind = isSent ? sentKind : 'refused';
      failure ??= new CallFailure(kind, isSent, error.code ?? error.message);
      reject(failure);
      // Without this, an answer without a length would count as complete when its connection is
      // reset. An answer that is complete stays so when other bytes follow it.
      if (!answered?.complete) answered?.destroy(failure);
    });
    // No request asks for another protocol.
    outgoing.once('upgrade', (_, socket) => {
      failure ??= new CallFailure('spoilt', true, 'unexpected change of protocol');
      socket.destroy();
    });
    // Covers the ends that Node reports without an error.
    outgoing.once('close', () => {
      if (!answered)
        reject(failure ?? new CallFailure('broken', isSent, 'closed without an answer'));
      settle();
    });
    if (signal.aborted) cancel();
    else signal.addEventListener('abort', cancel, { once: true });
  });
}
