import { createInputAge } from '@vanillarelay/core';
import { expect, it } from 'vitest';

/** Creates the bound on two clocks and a timer that the test moves by hand. */
const createTest = () => {
  const times = { monotonic: 0, wall: 1_000_000 };
  let fireTimer = () => {};
  let turns: (() => void)[] = [];
  const inputAge = createInputAge({
    clock: {
      monotonic: () => times.monotonic,
      now: () => times.wall,
      startTimer: (_, callback) => {
        fireTimer = callback;
        return () => {};
      },
    },
    scheduleTurn: (callback) => turns.push(callback),
  });
  const advance = (ms: number, wallMs = ms) => {
    times.monotonic += ms;
    times.wall += wallMs;
  };
  return {
    inputAge,
    advance,
    tick: (ms = 100) => {
      advance(ms);
      fireTimer();
    },
    endTurn: () => {
      const ended = turns;
      turns = [];
      ended.forEach((callback) => callback());
    },
    readAge: (connection: object = {}) => inputAge.startAge(connection)(),
  };
};

// Guards against input that counts as new although the process stood still before it was read; the
// first timer after a pause fires before the input is read, or after it.
it('bounds the age of what is read by the last tick but one', () => {
  const { tick, advance, readAge } = createTest();
  tick();
  tick();
  const usual = readAge();
  advance(4_000);
  const beforeTick = readAge();
  tick(0);
  const afterTick = readAge();
  tick();
  expect({ usual, beforeTick, afterTick, later: readAge() }).toMatchInlineSnapshot(`
    {
      "afterTick": 4000,
      "beforeTick": 4100,
      "later": 100,
      "usual": 100,
    }
  `);
});

// Guards against a suspended VM, on which the monotonic clock stands still.
it('counts the time that only the time of day shows', () => {
  const { tick, advance, readAge, inputAge } = createTest();
  tick();
  tick();
  const age = inputAge.startAge({});
  advance(0, 7_000);
  expect([readAge(), age()]).toMatchInlineSnapshot(`
    [
      7100,
      7100,
    ]
  `);
});

// Guards against connections that waited to be accepted, one in a turn, and count as new.
it('counts connections that are accepted in turns in a row from the first', () => {
  const { tick, endTurn, readAge, inputAge } = createTest();
  const connections = Array.from({ length: 12 }, () => ({}));
  tick();
  tick();
  const ages = connections.map((connection) => {
    inputAge.observeConnection(connection);
    const age = readAge(connection);
    endTurn();
    tick();
    return age;
  });
  endTurn();
  endTurn();
  const next = {};
  inputAge.observeConnection(next);
  expect({ ages, next: readAge(next) }).toMatchInlineSnapshot(`
    {
      "ages": [
        100,
        200,
        300,
        400,
        500,
        600,
        700,
        800,
        900,
        1000,
        1100,
        1200,
      ],
      "next": 100,
    }
  `);
});

// Guards against requests on a kept connection that count from the connection's arrival.
it('counts a later request on a connection from the last tick but one', () => {
  const { tick, readAge, inputAge } = createTest();
  const connection = {};
  inputAge.observeConnection(connection);
  tick(4_000);
  tick();
  tick();
  expect(readAge(connection)).toMatchInlineSnapshot(`100`);
});
