import { createMemoryStore } from '@vanillarelay/control';
import {
  RelayError,
  ResultCode,
  type Clock,
  type Command,
  type CommandResult,
} from '@vanillarelay/core';

/** Creates a fake control node with an in-memory store; results can be lost, late or replaced. */
export function createFakeControl(clock: Clock) {
  const store = createMemoryStore();
  const commands: Command[] = [];
  const faults = {
    /** Number of results still to be lost, after the command was applied. */
    answersToLose: 0,
    delayMs: 5,
    /** Returned for every command, which is then not applied. */
    answer: undefined as CommandResult | undefined,
  };

  let logEntryCount = 0;

  const propose = async (command: Command) => {
    await clock.wait(faults.delayMs);
    if (faults.answer) return faults.answer;
    logEntryCount += 1;
    commands.push(...(command.type === 'batch' ? command.commands : [command]));
    const result = await store.propose(command);
    if (faults.answersToLose > 0) {
      faults.answersToLose -= 1;
      throw new RelayError(ResultCode.connectionFailed, 'answer lost');
    }
    return result;
  };

  const listRecordStatuses = (): string[] =>
    [...store.readState().records.values()].map(({ status }) => status);

  return {
    propose,
    commands,
    faults,
    store,
    listRecordStatuses,
    countLogEntries: () => logEntryCount,
  };
}
