import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { createMainCommand, type CliContext } from '@vanillarelay/cli';
import { ResultCode, toExitCode } from '@vanillarelay/core';
import { buildProblem } from '@vanillarelay/entry';
import type { CommandDef } from 'citty';
import { expect, it } from 'vitest';

const loadPage = (name: string) =>
  readFileSync(fileURLToPath(new URL(`../../../docs/${name}`, import.meta.url)), 'utf8');

const listCommands = (command: CommandDef, path: string): string[] => {
  const subCommands = Object.entries((command.subCommands ?? {}) as Record<string, CommandDef>);
  if (subCommands.length === 0) return [path];
  return subCommands.flatMap(([name, sub]) => listCommands(sub, `${path} ${name}`));
};

// Guards against statuses or exit codes in the documentation that differ from the code.
it('lists every result code with its status and exit code in errors.md', () => {
  const rows = [
    ...loadPage('errors.md').matchAll(/^\| *(\d+) *\| `(\w+)` *\| (\d+) *\| (\d+) *\|/gm),
  ];
  const listed = rows.map(([, code, name, status, exit]) => [
    Number(code),
    name,
    Number(status),
    Number(exit),
  ]);
  const expected = Object.entries(ResultCode).map(([name, code]) => {
    const refusal = { code, message: '', notRun: true };
    const status = code === ResultCode.ok ? 200 : buildProblem(refusal, 'r' as never).status;
    return [code, name, status, toExitCode(code)];
  });
  expect(listed).toEqual(expected);
});

// Guards against a command that the operators' guide does not mention.
it('shows an example of every command in operators.md', () => {
  const page = loadPage('operators.md');
  const commands = listCommands(createMainCommand({} as CliContext), 'vanillarelay');
  expect(commands.filter((command) => !page.includes(command))).toEqual([]);
  expect(commands.length).toBeGreaterThan(20);
});
