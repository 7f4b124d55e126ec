import type { Clock } from './clock.js';
import type { HlcTime } from './hlc-time.js';

const millisecondDigits = 14;
const counterDigits = 5;
/** A remote time further ahead than this is ignored, so that one wrong clock affects no other. */
const maxAheadMs = 60_000;

/** Creates a hybrid logical clock, whose times respect the order of messages between processes. */
export function createHlc(clock: Clock) {
  let lastMs = 0;
  let counter = 0;

  const read = (): HlcTime => {
    const now = Math.floor(clock.now());
    if (now > lastMs) {
      lastMs = now;
      counter = 0;
    } else {
      counter += 1;
    }
    return encode(lastMs, counter);
  };

  /** Advances the clock to the time in a received message, if that is later. */
  const receive = (remote: HlcTime | undefined): void => {
    if (!remote) return;
    const [remoteMs = 0, remoteCounter = 0] = remote.split('.').map(Number);
    if (!Number.isFinite(remoteMs) || remoteMs > clock.now() + maxAheadMs) return;
    if (remoteMs > lastMs || (remoteMs === lastMs && remoteCounter > counter)) {
      lastMs = remoteMs;
      counter = Number.isFinite(remoteCounter) ? remoteCounter : 0;
    }
  };

  return { read, receive };
}

function encode(ms: number, counter: number): HlcTime {
  const text = `${String(ms).padStart(millisecondDigits, '0')}.${String(counter).padStart(counterDigits, '0')}`;
  return text as HlcTime;
}
