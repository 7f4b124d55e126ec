import {
  RelayError,
  withTimeout,
  type Clock,
  type EndpointClient,
  type EndpointHealth,
  type Timeline,
} from '@vanillarelay/core';

interface HealthMonitorOptions {
  clock: Clock;
  timeline: Timeline;
  endpoint: Pick<EndpointClient, 'readHealth'>;
  /** Called when the endpoint has died, or another instance of it runs now. */
  handleDeath: () => void;
  handleHealth: (health: EndpointHealth) => void;
}

const healthTimeoutMs = 1_000;
/** Missed checks that make an endpoint silent: it gets no new work, but its requests continue. */
const missedCheckLimit = 3;

/** Creates the monitor, which detects that the endpoint is silent, has died or has restarted. */
export function createHealthMonitor(options: HealthMonitorOptions) {
  const { clock, timeline, endpoint, handleDeath, handleHealth } = options;
  let status: 'up' | 'silent' | 'dead' = 'up';
  let instance: string | undefined;
  let missedChecks = 0;
  let checking: Promise<void> | undefined;

  const update = (next: typeof status): void => {
    if (next !== status) timeline.record('endpoint.changed', { from: status, to: next });
    status = next;
  };

  const receive = (health: EndpointHealth): void => {
    missedChecks = 0;
    const isNewInstance = instance !== undefined && health.instance !== instance;
    if (isNewInstance && status !== 'dead') handleDeath();
    instance = health.instance;
    update('up');
    handleHealth(health);
  };

  const receiveFailure = (error: unknown): void => {
    // The connection was refused, so the endpoint's process is gone.
    if (error instanceof RelayError && error.notRun) {
      if (status !== 'dead') handleDeath();
      update('dead');
      return;
    }
    missedChecks += 1;
    if (missedChecks >= missedCheckLimit && status === 'up') update('silent');
  };

  const runCheck = async (): Promise<void> => {
    try {
      receive(await withTimeout(clock, healthTimeoutMs, endpoint.readHealth));
    } catch (error) {
      receiveFailure(error);
    } finally {
      checking = undefined;
    }
  };

  return {
    /** Checks the endpoint's health; calls during a check share its result. */
    check: (): Promise<void> => {
      checking ??= runCheck();
      return checking;
    },
    isUp: () => status === 'up',
  };
}
