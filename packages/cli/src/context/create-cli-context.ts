import { randomUUID } from 'node:crypto';
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { dirname } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { RelayError, ResultCode, toId, type ChangeId } from '@vanillarelay/core';
import { openOperator } from '@vanillarelay/daemon';
import { callControl } from './call-control.js';
import type { CliContext } from './cli-context.js';

/** Creates the context of the real command line; tests pass their own. */
export function createCliContext(): CliContext {
  return {
    openOperator,
    callControl,
    print: (text) => console.log(text),
    loadText,
    writeText,
    createChangeId: () => toId<ChangeId>(randomUUID()),
    wait: async (ms) => {
      await wait(ms);
    },
  };
}

async function loadText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (cause) {
    throw new RelayError(
      ResultCode.unreadableFile,
      `${path}: got ${(cause as Error).message}, allowed: a readable file`,
      { notRun: true, cause },
    );
  }
}

async function writeText(path: string, text: string): Promise<void> {
  await mkdir(dirname(path), { recursive: true });
  await writeFile(path, text);
}
