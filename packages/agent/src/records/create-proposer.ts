import {
  RelayError,
  ResultCode,
  withTimeout,
  type Clock,
  type Command,
  type CommandResult,
  type ControlClient,
} from '@vanillarelay/core';

type RecordCommand = Extract<Command, { type: 'claim' | 'complete' | 'abandon' }>;

interface PendingProposal {
  command: RecordCommand;
  resolve: (result: CommandResult) => void;
  reject: (error: unknown) => void;
}

interface ProposerOptions {
  clock: Clock;
  propose: ControlClient['propose'];
}

const batchWindowMs = 3;
const maxBatchSize = 64;
/** Longer than an election, so that a proposal times out only when its result is probably lost. */
const proposeTimeoutMs = 2_500;

/** Creates the function that proposes record commands, batching those within `batchWindowMs`. */
export function createProposer({ clock, propose }: ProposerOptions) {
  let pending: PendingProposal[] = [];
  let isCollecting = false;

  const proposeWithTimeout = (command: Command) =>
    withTimeout(clock, proposeTimeoutMs, (signal) => propose(command, signal));

  const sendOne = async ({ command, resolve, reject }: PendingProposal): Promise<void> => {
    try {
      resolve(await proposeWithTimeout(command));
    } catch (error) {
      reject(error);
    }
  };

  const sendBatch = async (batch: PendingProposal[]): Promise<void> => {
    try {
      const result = await proposeWithTimeout({
        type: 'batch',
        commands: batch.map(({ command }) => command),
      });
      const results = result.ok ? (result.value as CommandResult[] | undefined) : undefined;
      batch.forEach(({ resolve, reject }, index) => {
        const commandResult = results?.[index];
        if (commandResult) resolve(commandResult);
        else
          reject(
            new RelayError(
              ResultCode.malformedMessage,
              'batch reply has no result for the command',
            ),
          );
      });
    } catch (error) {
      batch.forEach(({ reject }) => reject(error));
    }
  };

  const send = (): void => {
    isCollecting = false;
    const proposals = pending;
    pending = [];
    for (let start = 0; start < proposals.length; start += maxBatchSize) {
      const batch = proposals.slice(start, start + maxBatchSize);
      void (batch.length === 1 ? sendOne(batch[0]!) : sendBatch(batch));
    }
  };

  /** Proposes once; rejects with `notRun: true` only if the command cannot have been accepted. */
  return (command: RecordCommand): Promise<CommandResult> =>
    new Promise((resolve, reject) => {
      pending.push({ command, resolve, reject });
      if (isCollecting) return;
      isCollecting = true;
      clock.startTimer(batchWindowMs, send);
    });
}
