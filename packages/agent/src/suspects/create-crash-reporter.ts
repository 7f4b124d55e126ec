import {
  RelayError,
  ResultCode,
  withTimeout,
  type Clock,
  type Command,
  type ControlClient,
  type EndpointId,
  type Fingerprint,
  type Id,
  type Timeline,
} from '@vanillarelay/core';
import type { InFlight } from './in-flight.js';
import type { CrashMarks } from './crash-marks.js';

interface CrashReporterOptions {
  id: EndpointId;
  incarnation: number;
  clock: Clock;
  timeline: Timeline;
  createId: <T extends Id<string>>() => T;
  propose: ControlClient['propose'];
  inFlight: InFlight;
  marks: CrashMarks;
  handleDeath: () => void;
}

const tryTimeoutMs = 2_500;
const retryDelayMs = 500;
const maxTries = 20;

/** Creates the reporter, which reports to control which requests ran when the endpoint died. */
export function createCrashReporter(options: CrashReporterOptions) {
  const { id, incarnation, clock, timeline, createId, propose, inFlight, marks } = options;

  /** Proposes up to `maxTries` times; a repeated crash report has the same id and counts once. */
  const send = async (command: Command): Promise<void> => {
    for (let tries = 0; tries < maxTries; tries += 1) {
      try {
        await withTimeout(clock, tryTimeoutMs, (signal) => propose(command, signal));
        return;
      } catch {
        await clock.wait(retryDelayMs);
      }
    }
  };

  const handleDeath = (): void => {
    const fingerprints = inFlight.takeSuspects();
    timeline.record('endpoint.died', { running: fingerprints.length });
    options.handleDeath();
    inFlight.cancelAll(new RelayError(ResultCode.endpointFailed, 'endpoint died'));
    if (fingerprints.length === 0) return;
    marks.recordCrash(fingerprints);
    const crashId = createId<Id<'Crash'>>();
    void send({ type: 'reportCrash', endpoint: id, incarnation, fingerprints, crashId });
  };

  /** A suspect that completed without an error did not cause the crash. */
  const handleSuccess = (fingerprint: Fingerprint): void => {
    if (!marks.find(fingerprint)) return;
    marks.clear(fingerprint);
    timeline.record('suspect.cleared', { fingerprint });
    void send({ type: 'clearMark', fingerprint });
  };

  return { handleDeath, handleSuccess };
}
