import {
  RelayError,
  ResultCode,
  type Clock,
  type Command,
  type CommandResult,
  type RecordView,
} from '@vanillarelay/core';

interface StoredRecord extends RecordView {
  nonce: string;
}

/** Makes a log of records as section 6.4 describes it, whose answers can get lost. */
export function createRecordLog(clock: Clock) {
  const records = new Map<string, StoredRecord>();
  const voided = new Set<string>();
  const commands: Command[] = [];
  const faults = { loseAnswers: 0, loseCommands: 0, delayMs: 5 };
  let index = 0;

  const applyClaim = (command: Extract<Command, { type: 'claim' }>, key: string): CommandResult => {
    const { nonce, bodyHash, endpoint, incarnation, attemptId } = command;
    const known = records.get(key);
    const code = ResultCode.alreadyRunning;
    if (known && known.nonce !== nonce) {
      return { ok: false, code, message: known.status, details: { ...known } };
    }
    if (voided.has(attemptId)) {
      return { ok: false, code: ResultCode.attemptVoided, message: 'attempt was voided' };
    }
    records.set(key, { status: 'running', nonce, bodyHash, endpoint, incarnation });
    return { ok: true, index };
  };

  const apply = (command: Command): CommandResult => {
    if (command.type === 'batch') return { ok: true, index, value: command.commands.map(apply) };
    index += 1;
    if (!('key' in command)) return { ok: true, index };
    const key = `${command.account}/${command.key}`;
    const own = records.get(key);
    if (command.type === 'claim') return applyClaim(command, key);
    if (command.type === 'void') voided.add(command.attemptId);
    else if (own?.nonce !== command.nonce) return { ok: true, index };
    else if (command.type === 'abandon' && !command.ran) records.delete(key);
    else if (command.type === 'abandon') own.status = 'unknown';
    else {
      own.status = command.answer === undefined ? 'unkept' : 'done';
      const { status, contentType, answer: body = '' } = command;
      own.answer = { status, contentType, body };
    }
    return { ok: true, index };
  };

  const propose = async (command: Command): Promise<CommandResult> => {
    await clock.wait(faults.delayMs);
    if (faults.loseCommands > 0) {
      faults.loseCommands -= 1;
      throw new RelayError(ResultCode.connectionFailed, 'command lost');
    }
    commands.push(command);
    const result = apply(command);
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      throw new RelayError(ResultCode.connectionFailed, 'answer lost');
    }
    return result;
  };

  return { propose, commands, faults, records };
}
