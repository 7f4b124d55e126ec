import type { Clock } from './clock.js';

interface InputAgeOptions {
  clock: Pick<Clock, 'now' | 'monotonic' | 'startTimer'>;
  /** Calls back at the end of a turn of the event loop, after its input was read. */
  scheduleTurn: (callback: () => void) => void;
}

/** A time on both clocks: the monotonic one stands still while a VM is suspended, the other jumps. */
interface Moment {
  monotonic: number;
  wall: number;
}

interface AcceptedConnection {
  acceptedAt: number;
  /** Time after which the connection reached the VM. */
  arrivedAfter: Moment;
}

/** Interval of the ticks between which the event loop reads its input at least once. */
const tickIntervalMs = 100;

/**
 * Creates the bound of how long input waited until it was read. A process can't tell whether it was
 * paused before it reads something, only when it last ran: what is read now arrived after the turn
 * of the event loop that followed the last tick but one.
 */
export function createInputAge({ clock, scheduleTurn }: InputAgeOptions) {
  const connections = new WeakMap<object, AcceptedConnection>();
  const readMoment = (): Moment => ({ monotonic: clock.monotonic(), wall: clock.now() });
  const computeAge = ({ monotonic, wall }: Moment): number =>
    Math.max(clock.monotonic() - monotonic, clock.now() - wall);

  let lastTick = readMoment();
  let previousTick = lastTick;
  const recordTick = (): void => {
    previousTick = lastTick;
    lastTick = readMoment();
    clock.startTimer(tickIntervalMs, recordTick);
  };
  clock.startTimer(tickIntervalMs, recordTick);

  /** Arrival of the first of the connections that are accepted in turns in a row. */
  let queuedSince: Moment | undefined;
  let hasAccepted = false;
  const endTurn = (): void => {
    if (!hasAccepted) {
      queuedSince = undefined;
      return;
    }
    hasAccepted = false;
    scheduleTurn(endTurn);
  };

  return {
    /**
     * Observes a connection that was accepted. Node accepts one in a turn, so connections that are
     * accepted in turns in a row may have waited since the first one.
     */
    observeConnection: (connection: object): void => {
      if (!queuedSince) {
        queuedSince = previousTick;
        scheduleTurn(endTurn);
      }
      hasAccepted = true;
      const accepted = { acceptedAt: clock.monotonic(), arrivedAfter: queuedSince };
      connections.set(connection, accepted);
    },
    /**
     * Starts the age of what is read now from a connection: the longest time, in milliseconds, since
     * it reached the VM.
     */
    startAge: (connection: object): (() => number) => {
      const accepted = connections.get(connection);
      // Input that was there when the connection was accepted is read before the next but one tick.
      const isNew = accepted !== undefined && accepted.acceptedAt >= previousTick.monotonic;
      const arrivedAfter = isNew ? accepted.arrivedAfter : previousTick;
      return () => computeAge(arrivedAfter);
    },
  };
}
