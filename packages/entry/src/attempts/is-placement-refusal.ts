import { ResultCode } from '@vanillarelay/core';

/** Whether a working agent refused for lack of capacity or because it does not hold the chat. */
export function isPlacementRefusal(code: ResultCode): boolean {
  return (
    code === ResultCode.endpointBusy ||
    code === ResultCode.queueFull ||
    code === ResultCode.chatElsewhere
  );
}
