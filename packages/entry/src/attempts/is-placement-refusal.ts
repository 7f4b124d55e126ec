import { ResultCode } from '@vanillarelay/core';

/** Whether an agent refused because it has no room or does not hold the chat; it is alive then. */
export function isPlacementRefusal(code: ResultCode): boolean {
  return (
    code === ResultCode.endpointBusy ||
    code === ResultCode.queueFull ||
    code === ResultCode.chatElsewhere
  );
}
