import { RelayError, ResultCode } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { formatLogLine } from './format-log-line.js';
import { selectLogLines } from './select-log-lines.js';

/** Creates the query `log explain`, which follows one request through log files. */
export function createExplainLogQuery(context: CliContext) {
  return defineCommand({
    meta: {
      name: 'explain',
      description: 'Show one request, and the events that led to it, from log files',
    },
    args: {
      id: { type: 'positional', description: 'Request id', required: true },
      file: {
        type: 'string',
        description: 'Log files, separated by commas',
        default: '/dev/stdin',
      },
    },
    run: async ({ args }) => {
      const texts = await Promise.all(args.file.split(',').map(context.loadText));
      const lines = selectLogLines(texts.join('\n').split('\n'), args.id);
      if (lines.length === 0) {
        const message = `no log line names request "${args.id}"`;
        throw new RelayError(ResultCode.unknownTarget, message, { notRun: true });
      }
      lines.forEach((line) => context.print(formatLogLine(line)));
    },
  });
}
