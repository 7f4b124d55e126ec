import {
  RelayError,
  ResultCode,
  withDeadline,
  type Clock,
  type Command,
  type CommandResult,
  type ControlClient,
} from '@vanillarelay/core';

type RecordCommand = Extract<Command, { type: 'claim' | 'complete' | 'abandon' }>;

interface Waiting {
  command: RecordCommand;
  resolve: (result: CommandResult) => void;
  reject: (error: unknown) => void;
}

interface ProposerOptions {
  clock: Clock;
  propose: ControlClient['propose'];
}

const collectMs = 3;
const batchLimit = 64;
/** Larger than an election, so that a try is given up only when its answer is most likely lost. */
const tryTimeoutMs = 2_500;

/** Makes a function that proposes record commands, those of a few milliseconds in one log entry. */
export function createProposer({ clock, propose }: ProposerOptions) {
  let waiting: Waiting[] = [];
  let isCollecting = false;

  const call = (command: Command) =>
    withDeadline(clock, tryTimeoutMs, (signal) => propose(command, signal));

  const sendOne = async ({ command, resolve, reject }: Waiting): Promise<void> => {
    try {
      resolve(await call(command));
    } catch (error) {
      reject(error);
    }
  };

  const sendBatch = async (batch: Waiting[]): Promise<void> => {
    try {
      const result = await call({ type: 'batch', commands: batch.map(({ command }) => command) });
      const results = result.ok ? (result.value as CommandResult[] | undefined) : undefined;
      batch.forEach(({ resolve, reject }, index) => {
        const own = results?.[index];
        if (own) resolve(own);
        else reject(new RelayError(ResultCode.malformedMessage, 'batch without a result'));
      });
    } catch (error) {
      batch.forEach(({ reject }) => reject(error));
    }
  };

  const send = (): void => {
    isCollecting = false;
    const all = waiting;
    waiting = [];
    for (let start = 0; start < all.length; start += batchLimit) {
      const batch = all.slice(start, start + batchLimit);
      void (batch.length === 1 ? sendOne(batch[0]!) : sendBatch(batch));
    }
  };

  /** One try; rejects with `notRun: true` only when the command cannot have been accepted. */
  return (command: RecordCommand): Promise<CommandResult> =>
    new Promise((resolve, reject) => {
      waiting.push({ command, resolve, reject });
      if (isCollecting) return;
      isCollecting = true;
      clock.startTimer(collectMs, send);
    });
}
