import { randomInt } from 'node:crypto';
import {
  createHash,
  createHistograms,
  createHlc,
  createIdGenerator,
  createTimeline,
  toId,
  type DaemonId,
  type DataCentreId,
  type Random,
  type VmId,
} from '@vanillarelay/core';
import { pino } from 'pino';
import { createSystemClock } from './create-system-clock.js';

interface ProcessOptions {
  id: string;
  vm: string;
  dataCentre: string;
  logLevel: string;
}

/** The largest power of two that `randomInt` accepts as a range. */
const randomRange = 2 ** 47;

/** Creates what every process needs: clock, random source, logger, timeline and histograms. */
export async function createProcessContext({ id, vm, dataCentre, logLevel }: ProcessOptions) {
  const clock = createSystemClock();
  const random = createRandom();
  const hlc = createHlc(clock);
  const log = pino({ level: logLevel, base: { process: id, vm, dataCentre } });
  const timeline = createTimeline({
    hlc,
    process: toId<DaemonId>(id),
    vm: toId<VmId>(vm),
    dataCentre: toId<DataCentreId>(dataCentre),
  });
  // Events of single requests are logged at debug level only, because a line for each would cost a
  // disk write; the timeline's ring buffer holds them in any case.
  void timeline.events.observe(({ name, requestId, details, at }) =>
    log[requestId === undefined ? 'info' : 'debug']({ at, requestId, ...details }, name),
  );
  return {
    clock,
    random,
    hlc,
    log,
    timeline,
    histograms: createHistograms(),
    createId: createIdGenerator(random),
    hash: await createHash(),
  };
}

function createRandom(): Random {
  return () => randomInt(randomRange) / randomRange;
}
