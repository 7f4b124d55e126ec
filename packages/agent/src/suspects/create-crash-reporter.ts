import {
  RelayError,
  ResultCode,
  withDeadline,
  type Clock,
  type Command,
  type ControlClient,
  type EndpointId,
  type Fingerprint,
  type Timeline,
} from '@vanillarelay/core';
import type { InFlight } from './in-flight.js';
import type { Marks } from './marks.js';

interface CrashReporterOptions {
  id: EndpointId;
  incarnation: number;
  clock: Clock;
  timeline: Timeline;
  propose: ControlClient['propose'];
  inFlight: InFlight;
  marks: Marks;
  handleDeath: () => void;
}

const tryTimeoutMs = 2_500;
const retryDelayMs = 500;
const tryLimit = 20;

/** Makes the part that tells control which requests were running when the endpoint died. */
export function createCrashReporter(options: CrashReporterOptions) {
  const { id, incarnation, clock, timeline, propose, inFlight, marks } = options;
  let crashes = 0;

  /** Repeats until control has answered; a crash report only while it cannot have been accepted. */
  const send = async (command: Command): Promise<void> => {
    for (let tries = 0; tries < tryLimit; tries += 1) {
      try {
        await withDeadline(clock, tryTimeoutMs, (signal) => propose(command, signal));
        return;
      } catch (error) {
        // A second report of the same crash would count as a second crash.
        const isUnknown = !(error instanceof RelayError && error.notRun);
        if (command.type === 'reportCrash' && isUnknown) return;
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
    crashes += 1;
    // Each crash has its own number.
    const crash = incarnation + crashes;
    void send({ type: 'reportCrash', endpoint: id, incarnation: crash, fingerprints });
  };

  /** A suspect that ended well did not cause the crash. */
  const handleSuccess = (fingerprint: Fingerprint): void => {
    if (!marks.find(fingerprint)) return;
    marks.clear(fingerprint);
    timeline.record('suspect.cleared', { fingerprint });
    void send({ type: 'clearMark', fingerprint });
  };

  return { handleDeath, handleSuccess };
}
