import {
  hashBody,
  RelayError,
  ResultCode,
  sortByRendezvous,
  toId,
  toRefusal,
  type AgentClient,
  type AttemptId,
  type ChatId,
  type Clock,
  type DispatchRequest,
  type EndpointId,
  type Fingerprint,
  type Hash,
  type Hlc,
  type Id,
  type RequestId,
  type ServiceId,
  type Timeline,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';
import { buildProblem } from './build-problem.js';
import type { CallerReply } from './caller-reply.js';
import type { CallerRequest } from './caller-request.js';
import { findAccount } from './find-account.js';

interface EntryOptions {
  clock: Clock;
  hash: Hash;
  hlc: Hlc;
  timeline: Timeline;
  createId: <T extends Id<string>>() => T;
  link: Link;
  openAgent: (address: string) => AgentClient;
}

/** Makes an entry: it decides where a caller's request runs. */
export function createEntry({ hash, hlc, timeline, createId, link, openAgent }: EntryOptions) {
  const buildDispatch = (request: CallerRequest, requestId: RequestId): DispatchRequest => {
    const { state } = link.readView();
    if (!state || link.readContact() === 'isolated') {
      throw new RelayError(ResultCode.notReady, 'entry is not ready', { notRun: true });
    }
    const account = findAccount(state.config, request.headers.authorization);
    if (!account) throw new RelayError(ResultCode.unauthorized, 'unknown key', { notRun: true });
    const target = readTarget(request);
    const service = state.config.services[target.service];
    if (!service) {
      throw new RelayError(ResultCode.unknownService, `no service '${target.service}'`, {
        notRun: true,
      });
    }
    const kind = Object.entries(service.kinds).find(
      ([, { methods, pathPrefix }]) =>
        methods.includes(request.method) && target.path.startsWith(pathPrefix),
    );
    if (!kind)
      throw new RelayError(ResultCode.unknownPath, 'no request kind matches', { notRun: true });
    const bodyHash = hashBody(request.body);
    return {
      requestId,
      attemptId: createId<AttemptId>(),
      account,
      service: target.service,
      kind: kind[0],
      idempotent: kind[1].idempotent,
      mustArrive: kind[1].mustArrive,
      priority: kind[1].priority,
      remainingMs: kind[1].deadlineMs,
      ...(target.chat ? { chat: target.chat } : {}),
      resumable: false,
      takeOver: false,
      bodyHash,
      fingerprint: toId<Fingerprint>(hashBody(`${account}\n${bodyHash}`)),
      method: request.method,
      path: target.path,
      headers: { 'content-type': request.headers['content-type'] ?? 'application/json' },
      body: request.body,
      stateVersion: state.version,
      at: hlc.read(),
    };
  };

  const listCandidates = (request: DispatchRequest): EndpointId[] => {
    const { members, state } = link.readView();
    const ids = [...members.values()]
      .filter(
        (member) =>
          member.service === request.service &&
          member.status !== 'leaving' &&
          !state?.dataCentresOut.includes(member.dataCentre),
      )
      .map((member) => member.id);
    return sortByRendezvous(hash, request.chat ?? request.requestId, ids);
  };

  const run = async (
    request: CallerRequest,
    requestId: RequestId,
    signal: AbortSignal,
  ): Promise<CallerReply> => {
    const dispatch = buildDispatch(request, requestId);
    let refusal = {
      code: ResultCode.noEndpoint,
      message: 'no endpoint',
      notRun: true,
    } as ReturnType<typeof toRefusal>;
    for (const id of listCandidates(dispatch)) {
      const member = link.readView().members.get(id);
      if (!member) continue;
      timeline.record('request.dispatched', { endpoint: id }, requestId);
      const reply = await openAgent(member.address).dispatch(dispatch, signal);
      hlc.receive(reply.at);
      if (reply.type === 'answer') {
        return {
          status: reply.status,
          headers: { ...reply.headers, 'x-request-id': requestId, 'x-endpoint': id },
          body: reply.body,
        };
      }
      refusal = reply.refusal;
      if (!refusal.notRun) break;
    }
    return buildProblem(refusal, requestId);
  };

  const handle = async (request: CallerRequest, signal: AbortSignal): Promise<CallerReply> => {
    const requestId = createId<RequestId>();
    try {
      return await run(request, requestId, signal);
    } catch (error) {
      return buildProblem(toRefusal(error), requestId);
    }
  };

  const isReady = (): boolean =>
    link.readView().state !== undefined && link.readContact() !== 'isolated';

  return { handle, isReady };
}

function readTarget(request: CallerRequest): { service: ServiceId; path: string; chat?: ChatId } {
  const plain = /^\/services\/([^/]+)(\/.*)$/.exec(request.path);
  if (plain) return { service: toId<ServiceId>(plain[1] ?? ''), path: plain[2] ?? '/' };
  if (!request.path.startsWith('/v1/')) {
    throw new RelayError(ResultCode.unknownPath, `no path '${request.path}'`, { notRun: true });
  }
  const body = JSON.parse(Buffer.from(request.body).toString('utf8')) as {
    model?: string;
    chat_id?: string;
  };
  return {
    service: toId<ServiceId>(body.model ?? ''),
    path: request.path,
    ...(body.chat_id ? { chat: toId<ChatId>(body.chat_id) } : {}),
  };
}
