import type { ServiceId } from '@vanillarelay/core';
import type { AgedRollout } from '@vanillarelay/fleet';
import { createSeededRandom } from '@vanillarelay/scenarios';
import { createTestFleet } from './create-test-fleet.js';

const service = 'desk' as ServiceId;
const diskCount = 3;
const settleMs = 8_000;
const runMs = 40_000;
const recoverMs = 15_000;
/** Time after which operators call the next daemon. */
const callTimeoutMs = 1_000;
/** Time for which operators resend an order. */
const resendMs = 5_000;
const maxResendPauseMs = 400;
/** Share of the acknowledgements that do not reach the operator. */
const lostShare = 0.5;
const maxOrderPauseMs = 5_000;
const maxVerdictMs = 3_000;
const maxFaultPauseMs = 3_000;
const maxFaultMs = 4_000;
const observeMs = 50;
const maxClockErrorMs = 5_000;

/**
 * Plays operators that order versions and resend their orders, hubs that end roll-outs, and daemons
 * that are killed, paused or cut off. Returns what broke a promise: a roll-out that left its end
 * state or ended twice, an order that was carried out twice, an acknowledged order that is lost.
 */
export async function runRolloutModel(seed: number) {
  const random = createSeededRandom(seed);
  const fleet = createTestFleet({
    ...{ seed, disks: diskCount, others: 3, snapshotBytes: 2_000 },
    readClockOffset: () => (random() * 2 - 1) * maxClockErrorMs,
  });
  const { virtual } = fleet;
  const { clock } = virtual;
  const violations: string[] = [];
  const outcomes = new Map<number, string>();
  /** The log indexes at which each version was started. */
  const starts = new Map<string, Set<number>>();
  const acknowledged = new Set<string>();
  /** Whether no more orders, verdicts and failures begin. */
  let isEnded = false;
  let isObserved = true;

  const report = (text: string): void => {
    violations.push(`seed ${seed}, ${Math.round(clock.monotonic())} ms: ${text}`);
  };
  const choose = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)] as T;
  const listAlive = () => fleet.all.filter((id) => fleet.find(id).process.isAlive());

  fleet.startAll();
  await virtual.run(settleMs);

  const checkRollout = ({ rollout, ageMs }: AgedRollout): void => {
    const { startIndex, state, to } = rollout;
    const known = outcomes.get(startIndex);
    if (known !== undefined && state !== 'inProgress' && known !== state) {
      report(`${to} was ${known} and is ${state}`);
    }
    if (state !== 'inProgress') outcomes.set(startIndex, state);
    const indexes = starts.get(to) ?? new Set();
    starts.set(to, indexes.add(startIndex));
    if (ageMs < 0) report(`${to} has the age ${ageMs}`);
  };

  /** Checks each daemon's view, and that no view goes back while the process lives. */
  const runObservation = async (): Promise<void> => {
    const seen = new Map<unknown, AgedRollout>();
    while (isObserved) {
      listAlive().forEach((id) => {
        const { node, process } = fleet.find(id);
        const [found] = node.listRollouts();
        if (!found) return;
        checkRollout(found);
        const before = seen.get(process);
        if (before && before.rollout.lastIndex > found.rollout.lastIndex) {
          report(`the view of ${id} went back`);
        }
        const isSame = before?.rollout.startIndex === found.rollout.startIndex;
        if (before && isSame && found.ageMs < before.ageMs - maxClockErrorMs * 2) {
          report(`the age at ${id} went back from ${before.ageMs} to ${found.ageMs}`);
        }
        seen.set(process, found);
      });
      await clock.wait(observeMs);
    }
  };

  /** Calls one daemon; resolves with whether its acknowledgement reached the operator. */
  const callDaemon = async (to: string): Promise<boolean> => {
    const { node, process } = fleet.find(choose(fleet.all));
    const controller = new AbortController();
    const sentAt = clock.monotonic();
    const call = async (): Promise<boolean> => {
      await process.waitUntilRunning();
      const startedAt = process.clock.now();
      const command = { type: 'startRollout', service, to, durationMs: 12_000, startedAt } as const;
      const sender = { signal: controller.signal, readAgeMs: () => clock.monotonic() - sentAt };
      const result = await node.propose(command, sender);
      if (controller.signal.aborted || !result.ok) return false;
      acknowledged.add(to);
      return true;
    };
    const timeout = clock.wait(callTimeoutMs).then(() => {
      controller.abort();
      return false;
    });
    const isAcknowledged = await Promise.race([call().catch(() => false), timeout]);
    return isAcknowledged && random() >= lostShare;
  };

  const runOperator = async (name: string): Promise<void> => {
    for (let count = 1; !isEnded; count += 1) {
      await clock.wait(random() * maxOrderPauseMs);
      const deadline = clock.monotonic() + resendMs;
      let isDone = false;
      while (!isDone && clock.monotonic() < deadline && !isEnded) {
        isDone = await callDaemon(`${name}-${count}`);
        await clock.wait(random() * maxResendPauseMs);
      }
    }
  };

  /** Lets a hub reach a verdict on the roll-out that it knows, which may be outdated. */
  const runVerdicts = async (id: string): Promise<void> => {
    while (!isEnded) {
      await clock.wait(random() * maxVerdictMs);
      const { node, process } = fleet.find(id);
      const [found] = node.listRollouts();
      if (!process.isAlive() || found?.rollout.state !== 'inProgress') continue;
      const { startIndex } = found.rollout;
      const outcome = random() < 0.5 ? 'completed' : 'rolledBack';
      await Promise.race([
        node.proposeRolloutEnd(service, startIndex, outcome).catch(() => {}),
        clock.wait(callTimeoutMs),
      ]);
    }
  };

  const killForAWhile = async (ids: readonly string[]): Promise<void> => {
    ids.forEach(fleet.kill);
    await clock.wait(random() * maxFaultMs);
    ids.forEach((id) => fleet.restart(id));
  };

  const freezeForAWhile = async (id: string): Promise<void> => {
    const { process } = fleet.find(id);
    process.freeze();
    await clock.wait(random() * maxFaultMs);
    process.resume();
  };

  const cutForAWhile = async (id: string): Promise<void> => {
    const others = fleet.all.filter((other) => other !== id);
    others.forEach((other) => fleet.cut(id, other));
    await clock.wait(random() * maxFaultMs);
    others.forEach((other) => fleet.heal(id, other));
  };

  const runFaults = async (): Promise<void> => {
    while (!isEnded) {
      await clock.wait(random() * maxFaultPauseMs);
      const id = choose(fleet.all);
      await choose([
        () => killForAWhile([id]),
        () => killForAWhile(fleet.all),
        () => freezeForAWhile(id),
        () => freezeForAWhile(id),
        () => cutForAWhile(id),
        () => cutForAWhile(id),
      ])();
    }
  };

  void runObservation();
  ['a', 'b'].forEach((name) => {
    void runOperator(name);
  });
  fleet.all.slice(0, diskCount).forEach((id) => {
    void runVerdicts(id);
  });
  const faults = runFaults();
  await virtual.run(runMs);
  isEnded = true;
  await virtual.runUntil(faults);
  await virtual.run(recoverMs);
  isObserved = false;

  const last = new Set(
    fleet.all.map((id) => JSON.stringify(fleet.find(id).node.view.state.rollouts)),
  );
  if (last.size > 1) report(`daemons differ at the end: ${[...last].join(' and ')}`);
  starts.forEach((indexes, to) => {
    if (indexes.size > 1) report(`${to} was started at ${[...indexes].join(' and ')}`);
  });
  acknowledged.forEach((to) => {
    if (!starts.has(to)) report(`${to} was acknowledged and never started`);
  });
  return { violations, acknowledged: acknowledged.size, ended: outcomes.size };
}
