export { runCli } from './run-cli.js';
