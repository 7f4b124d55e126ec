import { RelayError, ResultCode, toId, type ChatId, type ServiceId } from '@vanillarelay/core';
import type { CallerRequest } from '../caller-request.js';
import { checkPath } from './check-path.js';
import { parseChatBody } from './parse-chat-body.js';

interface Target {
  service: ServiceId;
  path: string;
  resumable: boolean;
  /** Whether the answer is a chat completion, whose event streams have a final event. */
  isCompletion: boolean;
  chat?: ChatId;
  /** Whether the chat id is in the body, so that bodies with equal content differ by chat. */
  isChatInBody?: boolean;
}

const completionsPath = '/v1/chat/completions';
const maxChatIdLength = 256;

/** Finds the service, the path at the service and the chat of a request. */
export function parseTarget(request: CallerRequest): Target {
  const chat = request.headers['x-chat-id'];
  if (chat !== undefined && (chat === '' || chat.length > maxChatIdLength)) {
    throw new RelayError(
      ResultCode.malformedRequest,
      `header x-chat-id has ${chat.length} characters, 1 to ${maxChatIdLength} are allowed`,
      { notRun: true },
    );
  }
  const serviceMatch = /^\/services\/([^/?]+)(\/.*)?$/.exec(request.path);
  if (serviceMatch) {
    const path = serviceMatch[2] ?? '/';
    checkPath(path);
    return {
      service: toId<ServiceId>(serviceMatch[1] ?? ''),
      path,
      resumable: request.headers['x-resumable'] === 'true',
      isCompletion: false,
      ...(chat ? { chat: toId<ChatId>(chat) } : {}),
    };
  }
  if (request.path !== completionsPath) {
    throw new RelayError(ResultCode.unknownPath, `no path '${request.path}'`, { notRun: true });
  }
  const body = parseChatBody(request.body);
  const chatId = body.chat_id ?? chat;
  return {
    service: toId<ServiceId>(body.model),
    path: completionsPath,
    resumable: body.resumable ?? false,
    isCompletion: true,
    ...(chatId ? { chat: toId<ChatId>(chatId), isChatInBody: body.chat_id !== undefined } : {}),
  };
}
