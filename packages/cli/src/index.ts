export type { CliContext } from './context/cli-context.js';
export { createMainCommand } from './create-main-command.js';
export { runCli } from './run-cli.js';
