import { createMemoryStore } from '@vanillarelay/control';
import {
  RelayError,
  ResultCode,
  type Clock,
  type Command,
  type CommandResult,
} from '@vanillarelay/core';

/** Makes the replicated state of one control node, whose answers can be lost, late or replaced. */
export function createRecordLog(clock: Clock) {
  const store = createMemoryStore();
  const commands: Command[] = [];
  const faults = {
    loseAnswers: 0,
    delayMs: 5,
    /** Replaces every answer. */
    answer: undefined as CommandResult | undefined,
  };

  let entries = 0;

  const propose = async (command: Command) => {
    await clock.wait(faults.delayMs);
    if (faults.answer) return faults.answer;
    entries += 1;
    commands.push(...(command.type === 'batch' ? command.commands : [command]));
    const result = await store.propose(command);
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      throw new RelayError(ResultCode.connectionFailed, 'answer lost');
    }
    return result;
  };

  const listRecords = (): string[] =>
    [...store.readState().records.values()].map(({ status }) => status);

  return { propose, commands, faults, store, listRecords, countEntries: () => entries };
}
