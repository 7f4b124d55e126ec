import { findCodeName, RelayError, toExitCode } from '@vanillarelay/core';
import { runCommand, runMain } from 'citty';
import { createCliContext } from './context/create-cli-context.js';
import { createMainCommand } from './create-main-command.js';

const helpFlags = ['--help', '-h'];
const usageExitCode = 2;

/** Runs the command line; a `RelayError` ends the process with the exit code of its result code. */
export async function runCli(): Promise<void> {
  const main = createMainCommand(createCliContext());
  const rawArgs = process.argv.slice(2);
  if (rawArgs.length === 0 || rawArgs.some((arg) => helpFlags.includes(arg))) {
    await runMain(main, { rawArgs: rawArgs.length === 0 ? ['--help'] : rawArgs });
    return;
  }
  try {
    await runCommand(main, { rawArgs });
  } catch (error) {
    console.error(formatError(error));
    process.exit(error instanceof RelayError ? toExitCode(error.code) : usageExitCode);
  }
}

function formatError(error: unknown): string {
  if (error instanceof RelayError) {
    return `error ${error.code} (${findCodeName(error.code)}):\n${error.message}`;
  }
  return error instanceof Error ? error.message : String(error);
}
