import { createHlc, type Clock, type HlcTime } from '@vanillarelay/core';
import { expect, it } from 'vitest';

// Guards against a timeline that lists an answer before its request because clocks differ.
it('orders the receipt of a message after its sending when clocks differ', () => {
  const createFixedClock = (ms: number) => ({ now: () => ms }) as Clock;
  const ahead = createHlc(createFixedClock(5_000));
  const behind = createHlc(createFixedClock(1_000));
  const sent = ahead.read();
  behind.receive(sent);
  expect(behind.read() > sent).toBe(true);
});

// Guards against a VM whose wrong clock moves the clocks of all others into the future.
it('ignores a time that is far ahead', () => {
  const hlc = createHlc({ now: () => 1_000 } as Clock);
  hlc.receive('00000009999999.00000' as HlcTime);
  expect(hlc.read()).toMatchInlineSnapshot(`"00000000001000.00000"`);
});
