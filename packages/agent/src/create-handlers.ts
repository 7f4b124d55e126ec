import {
  RelayError,
  ResultCode,
  toRefusal,
  type AgentPeer,
  type ContactReport,
  type DispatchReply,
  type DispatchRequest,
  type Refusal,
} from '@vanillarelay/core';
import type { Gate } from './admission/gate.js';
import type { AgentOptions } from './agent-options.js';
import type { ChatDirectory } from './directory/chat-directory.js';
import type { createDispatcher } from './executor/create-dispatcher.js';
import { createRecentAttempts } from './executor/create-recent-attempts.js';
import type { StreamTable } from './streams/stream-table.js';

interface HandlersOptions extends Pick<
  AgentOptions,
  'dataCentre' | 'service' | 'hlc' | 'timeline' | 'endpoint' | 'findLink'
> {
  dispatcher: ReturnType<typeof createDispatcher>;
  directory: ChatDirectory;
  streams: StreamTable;
  gate: Gate;
}

const defaultRetryAfterMs = 1_000;
const staleRetryAfterMs = 500;

/** Creates the handlers of the messages that entries and other agents send. */
export function createHandlers(options: HandlersOptions): AgentPeer {
  const { dataCentre, service, hlc, timeline, endpoint, findLink } = options;
  const { dispatcher, directory, streams, gate } = options;
  const attempts = createRecentAttempts();

  const buildReplyHead = () => ({
    stateVersion: findLink().readView().state?.version ?? 0,
    at: hlc.read(),
  });

  /** Fetches a state as new as the entry's, so that no request runs under an outdated state. */
  const checkVersion = async (version: number): Promise<void> => {
    if (version <= (findLink().readView().state?.version ?? 0)) return;
    if (await findLink().receiveVersion(version)) return;
    throw new RelayError(ResultCode.staleState, `agent does not have state version ${version}`, {
      notRun: true,
      retryAfterMs: staleRetryAfterMs,
    });
  };

  const dispatch = async (
    request: DispatchRequest,
    signal: AbortSignal,
  ): Promise<DispatchReply> => {
    hlc.receive(request.at);
    const attempt = `${request.attemptId}/${request.takeOver}`;
    try {
      attempts.checkNew(attempt);
      await checkVersion(request.stateVersion);
      return { ...(await dispatcher.run(request, signal)), ...buildReplyHead() };
    } catch (error) {
      const refusal: Refusal = { retryAfterMs: defaultRetryAfterMs, ...toRefusal(error) };
      if (refusal.notRun) attempts.recordRefusal(attempt, refusal);
      timeline.record(
        'request.refused',
        { code: refusal.code, notRun: refusal.notRun },
        request.requestId,
      );
      return { ...buildReplyHead(), type: 'refusal', refusal };
    }
  };

  const resume: AgentPeer['resume'] = async (streamId, after, signal) => {
    try {
      const body = streams.resume(streamId, after, signal);
      const headers = { 'content-type': 'text/event-stream' };
      return { ...buildReplyHead(), type: 'answer', status: 200, headers, streamId, body };
    } catch (error) {
      const refusal: Refusal = { retryAfterMs: 0, ...toRefusal(error) };
      return { ...buildReplyHead(), type: 'refusal', refusal };
    }
  };

  const readContact = async (stateVersion: number): Promise<ContactReport> => ({
    ...findLink().buildContactReport(stateVersion),
    dataCentre,
  });

  return {
    dispatch,
    resume,
    cancel: async (streamId) => streams.cancel(streamId),
    announcePlacement: async (update) => directory.receivePlacement(update),
    readContact,
    importCache: async (transfer, cache) => {
      gate.checkOpen();
      if (transfer.service !== service) return;
      await endpoint.importCache(transfer.chat, cache);
      directory.receiveCache(transfer);
    },
  };
}
