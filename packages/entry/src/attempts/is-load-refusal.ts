import { ResultCode } from '@vanillarelay/core';

/** Whether an agent refused for lack of room or because the chat is elsewhere: it is alive. */
export function isLoadRefusal(code: ResultCode): boolean {
  return (
    code === ResultCode.endpointBusy ||
    code === ResultCode.queueFull ||
    code === ResultCode.chatElsewhere
  );
}
