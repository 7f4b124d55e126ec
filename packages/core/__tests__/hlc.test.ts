import { createHlc, type Clock, type HlcTime } from '@vanillarelay/core';
import { expect, it } from 'vitest';

// Guards against a time line that shows an answer before its request when clocks differ.
it('keeps the order of a message between two clocks that differ', () => {
  const createFixedClock = (ms: number) => ({ now: () => ms }) as Clock;
  const ahead = createHlc(createFixedClock(5_000));
  const behind = createHlc(createFixedClock(1_000));
  const sent = ahead.read();
  behind.receive(sent);
  expect(behind.read() > sent).toBe(true);
});

// Guards against one VM with a wrong clock dragging all others into the future.
it('does not follow a time far ahead', () => {
  const hlc = createHlc({ now: () => 1_000 } as Clock);
  hlc.receive('00000009999999.00000' as HlcTime);
  expect(hlc.read()).toMatchInlineSnapshot(`"00000000001000.00000"`);
});
