import { ResultCode, type AgentClient, type Hlc } from '@vanillarelay/core';
import type { Link } from './link.js';

interface WrapOptions {
  hlc: Hlc;
  findLink: () => Pick<Link, 'readView' | 'receiveVersion'>;
}

/** Wraps handlers so that an agent fetches the state version of a request before it runs it. */
export function wrapAgentHandlers<T extends Pick<AgentClient, 'dispatch'>>(
  handlers: T,
  { hlc, findLink }: WrapOptions,
): T {
  const dispatch: AgentClient['dispatch'] = async (request, signal) => {
    const { stateVersion } = request;
    if (await findLink().receiveVersion(stateVersion)) return handlers.dispatch(request, signal);
    const message = `state version ${stateVersion} could not be fetched`;
    return {
      type: 'refusal',
      refusal: { code: ResultCode.staleState, message, notRun: true },
      stateVersion: findLink().readView().state?.version ?? 0,
      at: hlc.read(),
    };
  };
  return { ...handlers, dispatch };
}
