import {
  createHash,
  type CrashId,
  type DaemonId,
  type Hash,
  type SuspectId,
} from '@vanillarelay/core';
import { createCrashRecord, mergeCrashReports } from '@vanillarelay/routing';
import { beforeAll, describe, expect, it } from 'vitest';

const bad = 'bad' as SuspectId;
const common = 'common' as SuspectId;
const crashes = ['c1', 'c2', 'c3', 'c4', 'c5'] as CrashId[];

let hash: Hash;
beforeAll(async () => {
  hash = await createHash();
});

/** Creates the records of several routers on one clock, which exchange what they know on demand. */
function createRecords(count: number) {
  const time = { now: 0 };
  const names = Array.from({ length: count }, (_, index) => `router-${index}` as DaemonId);
  const changes: string[] = [];
  const records = names.map((self) =>
    createCrashRecord({
      ...{ hash, self },
      clock: { monotonic: () => time.now },
      listRouters: () => names,
      notify: (change, id, crashCount) => changes.push(`${change} ${id} ${crashCount}`),
    }),
  );
  const exchange = (): void => {
    const reports = records.map((record) => record.readLocal());
    records.forEach((record, self) =>
      record.updateRemote(mergeCrashReports(reports.filter((_, index) => index !== self))),
    );
  };
  const listBlocked = () => records.map((record) => record.listBlocked([bad, common]));
  return { time, records, changes, exchange, listBlocked };
}

describe('what crashes endpoints', () => {
  // Guards against a request that may crash three endpoints per process instead of three in total.
  it('is blocked at every router after three crashes at different ones', () => {
    const { records, exchange, listBlocked } = createRecords(4);
    records.slice(0, 3).forEach((record, index) => {
      record.recordCrash([bad], crashes[index] as CrashId);
    });
    const before = listBlocked();
    exchange();
    expect([before, listBlocked()]).toEqual([
      [[], [], [], []],
      [[bad], [bad], [bad], [bad]],
    ]);
  });

  // Guards against a content that is blocked since its requests were lost in one crash, and against
  // missing a crash of an endpoint whose restart is not announced yet.
  it.each([
    ['together count as one crash', [100, 100, 90], []],
    ['one after the other count each', [100, 210, 320], [bad]],
  ])('runs of a content that are lost %s', (_, sentAt, blocked) => {
    const { time, records, exchange, listBlocked } = createRecords(3);
    sentAt.forEach((at, index) => {
      time.now = Math.max(at, 200 + index * (at > 100 ? 110 : 1));
      records[index]?.recordLostRun(bad, { endpointProcess: 'e1', sentAt: at, events: 0 });
      exchange();
      exchange();
    });
    expect(listBlocked()).toEqual([blocked, blocked, blocked]);
  });

  // Guards against blocking a long stream that was lost in the crashes of others, and against
  // missing a content that crashes its endpoints at about the same event.
  it.each([
    ['far apart', [3, 9, 25], []],
    ['close together', [1, 2, 1], [bad]],
  ])('is blocked or not when its runs are lost at points %s', (_, events, blocked) => {
    const { records, exchange, listBlocked } = createRecords(3);
    events.forEach((count, index) => {
      const endpointProcess = `e${index}`;
      records[index]?.recordLostRun(bad, { endpointProcess, sentAt: 0, events: count });
    });
    exchange();
    expect(listBlocked()).toEqual([blocked, blocked, blocked]);
  });

  // Guards against counting one crash several times, as each router with requests there reports it.
  it('is not blocked by one crash that several routers notice', () => {
    const { records, exchange, listBlocked } = createRecords(5);
    records.forEach((record) => record.recordCrash([bad], 'c1' as CrashId));
    exchange();
    expect(listBlocked().flat()).toEqual([]);
  });

  // Guards against forgetting a verdict when the router that noticed a crash restarts.
  it('stays blocked when the routers that noticed the crashes are gone', () => {
    const { records, exchange, listBlocked } = createRecords(4);
    records.slice(0, 3).forEach((record, index) => {
      record.recordCrash([bad], crashes[index] as CrashId);
    });
    exchange();
    const { records: restarted } = createRecords(4);
    const survivor = records[3] as (typeof records)[number];
    restarted.forEach((record) => record.updateRemote(survivor.readLocal()));
    expect([listBlocked()[3], ...restarted.map((record) => record.listBlocked([bad]))]).toEqual(
      Array.from({ length: 5 }, () => [bad]),
    );
  });

  // Guards against a caller that sends it after a while and crashes endpoints again.
  it('stays blocked for minutes', () => {
    const { time, records, listBlocked } = createRecords(1);
    crashes.slice(0, 3).forEach((crash) => records[0]?.recordCrash([bad], crash));
    time.now = 300_000;
    records[0]?.readLocal();
    expect(listBlocked()).toEqual([[bad]]);
  });
});

describe('a prompt part that was in requests which crashed endpoints', () => {
  // Guards against refusing prompts because they share a part with one that crashes endpoints.
  it('is not blocked when answers to prompts with it begin at other routers', () => {
    const { time, records, exchange, listBlocked } = createRecords(3);
    crashes.forEach((crash, index) => {
      time.now = index * 100;
      records[index % 2]?.recordCrash([bad, common], crash);
      time.now += 50;
      records[2]?.recordStart([common]);
      exchange();
    });
    exchange();
    expect(listBlocked()).toEqual([[bad], [bad], [bad]]);
  });

  // Guards against an answer from before a crash that clears what caused it.
  it('is not cleared by an answer that began before the crash', () => {
    const { time, records, exchange, listBlocked } = createRecords(2);
    records[1]?.recordStart([bad]);
    time.now = 10;
    crashes.slice(0, 3).forEach((crash) => records[0]?.recordCrash([bad], crash));
    exchange();
    exchange();
    expect(listBlocked()).toEqual([[bad], [bad]]);
  });

  // Guards against a single crash that is kept for ever and adds up with crashes of other causes.
  it('is no longer suspected a minute after a single crash', () => {
    const { time, records } = createRecords(1);
    records[0]?.recordCrash([bad], 'c1' as CrashId);
    const before = records[0]?.readLocal();
    time.now = 61_000;
    expect([before, records[0]?.readLocal(), records[0]?.isEmpty()]).toEqual([
      { bad: { c1: { ageMs: 0 } } },
      {},
      true,
    ]);
  });
});

describe('a probe of what is blocked', () => {
  const block = ({ records, exchange }: ReturnType<typeof createRecords>, count: number): void => {
    crashes.slice(0, count).forEach((crash) => records[0]?.recordCrash([bad], crash));
    exchange();
  };
  /** Counts the routers that may send a probe at a time, without their learning of each other. */
  const countProbes = ({ time, records }: ReturnType<typeof createRecords>, at: number): number => {
    time.now = at;
    return records.filter((record) => record.takeProbe([bad])).length;
  };

  // Guards against a wrong verdict that lasts for minutes.
  it('clears a harmless part at every router when its answer begins', () => {
    const fleet = createRecords(3);
    block(fleet, 3);
    fleet.time.now = 10_000;
    const mayProbe = fleet.records[1]?.takeProbe([bad]);
    fleet.records[1]?.recordStart([bad]);
    fleet.exchange();
    expect([mayProbe, fleet.listBlocked()]).toEqual([true, [[], [], []]]);
  });

  // Guards against probes of many routers at once, each of which can crash an endpoint.
  it('is sent by one router at first, and later after each further crash', () => {
    const afterThree = createRecords(13);
    block(afterThree, 3);
    const afterFive = createRecords(13);
    block(afterFive, 5);
    expect({
      afterThree: [500, 1_000, 1_600].map((at) => countProbes(afterThree, at)),
      afterFive: [1_000, 15_000, 16_000, 25_000].map((at) => countProbes(afterFive, at)),
    }).toEqual({ afterThree: [0, 1, 1], afterFive: [0, 0, 1, 1] });
  });

  // Guards against routers whose turns pile up while no request comes, and then all send one.
  it('is sent by one router only, long after a further crash', () => {
    const fleet = createRecords(13);
    block(fleet, 4);
    expect(countProbes(fleet, 120_000)).toBe(1);
  });

  // Guards against parts that always come together and whose turns never meet.
  it('tests two parts that always come together in one request', () => {
    const fleet = createRecords(13);
    crashes.slice(0, 4).forEach((crash) => fleet.records[0]?.recordCrash([bad, common], crash));
    fleet.exchange();
    fleet.time.now = 4_100;
    expect(fleet.records.filter((record) => record.takeProbe([bad, common])).length).toBe(1);
  });
});
