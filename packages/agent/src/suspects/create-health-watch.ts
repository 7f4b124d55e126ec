import {
  RelayError,
  withDeadline,
  type Clock,
  type EndpointClient,
  type EndpointHealth,
  type Timeline,
} from '@vanillarelay/core';

interface HealthWatchOptions {
  clock: Clock;
  timeline: Timeline;
  endpoint: Pick<EndpointClient, 'readHealth'>;
  /** The endpoint died, or another instance of it runs now. */
  handleDeath: () => void;
  handleHealth: (health: EndpointHealth) => void;
}

const healthTimeoutMs = 1_000;
/** A frozen endpoint is not dead: it gets no new work, and its running work goes on. */
const silentLimit = 3;

/** Makes the watch over the endpoint's life. */
export function createHealthWatch(options: HealthWatchOptions) {
  const { clock, timeline, endpoint, handleDeath, handleHealth } = options;
  let status: 'up' | 'silent' | 'dead' = 'up';
  let instance: string | undefined;
  let silent = 0;
  let checking: Promise<void> | undefined;

  const update = (next: typeof status): void => {
    if (next !== status) timeline.record('endpoint.changed', { from: status, to: next });
    status = next;
  };

  const receive = (health: EndpointHealth): void => {
    silent = 0;
    const isOther = instance !== undefined && health.instance !== instance;
    if (isOther && status !== 'dead') handleDeath();
    instance = health.instance;
    update('up');
    handleHealth(health);
  };

  const receiveFailure = (error: unknown): void => {
    if (error instanceof RelayError && error.notRun) {
      if (status !== 'dead') handleDeath();
      update('dead');
      return;
    }
    silent += 1;
    if (silent >= silentLimit && status === 'up') update('silent');
  };

  const runCheck = async (): Promise<void> => {
    try {
      receive(await withDeadline(clock, healthTimeoutMs, endpoint.readHealth));
    } catch (error) {
      receiveFailure(error);
    } finally {
      checking = undefined;
    }
  };

  return {
    /** Asks the endpoint for its health; calls while one is under way share its result. */
    check: (): Promise<void> => {
      checking ??= runCheck();
      return checking;
    },
    isUp: () => status === 'up',
  };
}
