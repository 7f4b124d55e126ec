const numberPattern = /^\d+$/;

/** Whether an event follows the last one that was relayed; ids that are numbers increase. */
export function isLaterEvent(id: string, lastId: string | undefined): boolean {
  if (lastId === undefined) return true;
  const areNumbers = numberPattern.test(id) && numberPattern.test(lastId);
  return areNumbers ? Number(id) > Number(lastId) : id !== lastId;
}
