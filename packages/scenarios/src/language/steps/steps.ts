import type { Step } from '../step.js';
import { applyLimit } from './apply-limit.js';
import { bringBack } from './bring-back.js';
import { cut } from './cut.js';
import { drain } from './drain.js';
import { expectStep } from './expect-step.js';
import { freeze } from './freeze.js';
import { heal } from './heal.js';
import { kill } from './kill.js';
import { lose } from './lose.js';
import { raceChanges } from './race-changes.js';
import { restart } from './restart.js';
import { send } from './send.js';
import { settle } from './settle.js';
import { start } from './start.js';
import { stop } from './stop.js';
import { takeOut } from './take-out.js';
import { wait } from './wait.js';
import { wake } from './wake.js';
import { wipe } from './wipe.js';

/** The steps of the scenario language, by verb. */
export const steps: Readonly<Record<string, Step>> = {
  start,
  send,
  wait,
  settle,
  kill,
  lose,
  restart,
  stop,
  freeze,
  wake,
  cut,
  heal,
  wipe,
  'take-out': takeOut,
  'bring-back': bringBack,
  drain,
  apply: applyLimit,
  race: raceChanges,
  expect: expectStep,
};
