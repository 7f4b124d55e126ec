#!/usr/bin/env node
import { runCli } from '../dist/index.js';

await runCli();
