import { expect, it } from 'vitest';
import { computeQuorumValue } from '../src/raft/membership/compute-quorum-value.js';
import type { Group } from '../src/raft/membership/group.js';
import { replaceDisk } from '../src/raft/membership/replace-disk.js';

/**
 * A model of four voters that lose their disks at any moment while two of them stand as candidates and
 * the first one replicates an entry. It visits every order of votes, losses and acknowledgements.
 */
interface ModelDisk {
  isNew: boolean;
  term: number;
  /** Candidate that got the vote of this disk in `term`. */
  vote: string | undefined;
  hasEntry: boolean;
}

interface Candidate {
  seat: string;
  term: number;
  phase: 'idle' | 'candidate' | 'leader' | 'ended';
  hasEntry: boolean;
  /** The seat in which it counts a new disk. */
  newDisk: string | undefined;
  votes: string[];
  acknowledged: string[];
}

interface ModelState {
  disks: Record<string, ModelDisk>;
  candidates: Candidate[];
  isElected: boolean[];
  isCommitted: boolean;
}

/** The rules whose need the model shows. */
interface Rules {
  /** A new disk votes before the others. */
  isNewDiskFirst: boolean;
  /** Acknowledgements count only from the entry on that gives the new disk its seat. */
  isEntryCounted: boolean;
}

const seats = ['a', 'b', 'c', 'd'];
const maxLosses = 3;
const group: Group = {
  members: seats.map((id) => ({ id, address: id, diskId: `${id}1`, role: 'voter' as const })),
  size: 3,
};

const toDiskId = (state: ModelState, seat: string) =>
  `${seat}${state.disks[seat]?.isNew ? '2' : '1'}`;

const hasQuorum = ({ newDisk }: Candidate, disks: readonly string[]): boolean => {
  const groups = newDisk ? [group, replaceDisk(group, `${newDisk}1`, `${newDisk}2`)] : [group];
  return computeQuorumValue(groups, (disk) => Number(disks.includes(disk))) === 1;
};

function* listVotes(state: ModelState, position: number, rules: Rules): Generator<ModelState> {
  for (const seat of seats) {
    const next = structuredClone(state);
    const candidate = next.candidates[position] as Candidate;
    const disk = next.disks[seat] as ModelDisk;
    const name = `candidate ${position}`;
    const isFree = disk.term < candidate.term || disk.vote === name;
    const isUpToDate = candidate.hasEntry || !disk.hasEntry;
    const diskId = toDiskId(next, seat);
    const isFirst = candidate.votes.length === 1;
    const mayCount =
      !disk.isNew || (candidate.newDisk === undefined && (isFirst || !rules.isNewDiskFirst));
    if (!isFree || !isUpToDate || !mayCount || candidate.votes.includes(diskId)) continue;
    Object.assign(disk, { term: candidate.term, vote: name });
    if (disk.isNew) candidate.newDisk = seat;
    candidate.votes.push(diskId);
    if (hasQuorum(candidate, candidate.votes)) {
      candidate.phase = 'leader';
      next.isElected[position] = true;
    }
    yield next;
  }
}

/** Steps of the first candidate as leader: it replicates, and gives a new disk its seat. */
function* listReplications(state: ModelState, rules: Rules): Generator<ModelState> {
  for (const seat of seats) {
    const next = structuredClone(state);
    const leader = next.candidates[0] as Candidate;
    const disk = next.disks[seat] as ModelDisk;
    const isKnown = !disk.isNew || leader.newDisk === seat;
    if (
      isKnown &&
      disk.term <= leader.term &&
      !leader.acknowledged.includes(toDiskId(next, seat))
    ) {
      Object.assign(disk, { term: leader.term, hasEntry: true });
      leader.acknowledged.push(toDiskId(next, seat));
      if (hasQuorum(leader, leader.acknowledged)) next.isCommitted = true;
      yield next;
    } else if (disk.isNew && leader.newDisk === undefined) {
      leader.newDisk = seat;
      if (rules.isEntryCounted) leader.acknowledged = [];
      if (hasQuorum(leader, leader.acknowledged)) next.isCommitted = true;
      yield next;
    }
  }
}

function* listLosses(state: ModelState): Generator<ModelState> {
  const losses = seats.filter((seat) => state.disks[seat]?.isNew).length;
  if (losses >= maxLosses) return;
  for (const seat of seats) {
    if (state.disks[seat]?.isNew) continue;
    const next = structuredClone(state);
    next.disks[seat] = { isNew: true, term: 0, vote: undefined, hasEntry: false };
    next.candidates
      .filter((candidate) => candidate.seat === seat)
      .forEach((candidate) => {
        candidate.phase = 'ended';
      });
    yield next;
  }
}

function* listSteps(state: ModelState, rules: Rules): Generator<ModelState> {
  yield* listLosses(state);
  for (const [position, candidate] of state.candidates.entries()) {
    const disk = state.disks[candidate.seat] as ModelDisk;
    if (candidate.phase === 'idle' && disk.term < candidate.term) {
      const next = structuredClone(state);
      const started = next.candidates[position] as Candidate;
      Object.assign(started, { phase: 'candidate', hasEntry: disk.hasEntry });
      Object.assign(started, { votes: [toDiskId(state, candidate.seat)] });
      Object.assign(next.disks[candidate.seat] as ModelDisk, {
        ...{ term: candidate.term, vote: `candidate ${position}` },
      });
      yield next;
    }
    const isCurrent = disk.term <= candidate.term;
    if (candidate.phase === 'candidate' && isCurrent) yield* listVotes(state, position, rules);
    if (candidate.phase === 'leader' && position === 0 && isCurrent) {
      yield* listReplications(state, rules);
    }
  }
}

const isBroken = ({ candidates, isElected, isCommitted }: ModelState): boolean => {
  const [first, second] = candidates as [Candidate, Candidate];
  if (first.term === second.term) return isElected.every(Boolean);
  return isCommitted && isElected[1] === true && !second.hasEntry;
};

/** Visits all states; returns the number of them, and whether one of them is broken. */
const runModel = (terms: [number, number], secondSeat: string, rules: Rules) => {
  const buildCandidate = (seat: string, term: number): Candidate => ({
    ...{ seat, term, phase: 'idle', hasEntry: false, newDisk: undefined },
    ...{ votes: [], acknowledged: [] },
  });
  const first: ModelState = {
    disks: Object.fromEntries(
      seats.map((seat) => [seat, { isNew: false, term: 0, vote: undefined, hasEntry: false }]),
    ),
    candidates: [buildCandidate('c', terms[0]), buildCandidate(secondSeat, terms[1])],
    isElected: [false, false],
    isCommitted: false,
  };
  const toKey = (state: ModelState) =>
    JSON.stringify({
      ...state,
      candidates: state.candidates.map((candidate) => ({
        ...candidate,
        ...{ votes: [...candidate.votes].sort(), acknowledged: [...candidate.acknowledged].sort() },
      })),
    });
  const seen = new Set([toKey(first)]);
  const waiting = [first];
  for (let state = waiting.pop(); state; state = waiting.pop()) {
    if (isBroken(state)) return { states: seen.size, isBroken: true };
    for (const next of listSteps(state, rules)) {
      const key = toKey(next);
      if (!seen.has(key)) {
        seen.add(key);
        waiting.push(next);
      }
    }
  }
  return { states: seen.size, isBroken: false };
};

const allRules: Rules = { isNewDiskFirst: true, isEntryCounted: true };

// Guards against two leaders of one term, and against a leader without an entry that was accepted,
// whichever disks are lost, in any order with the votes and acknowledgements.
it.each([
  ['one term', [1, 1] as [number, number], 'a'],
  ['two terms', [1, 2] as [number, number], 'a'],
])('keeps one leader and all accepted entries with candidates of %s', (_name, terms, seat) => {
  const { states, isBroken: hasFailed } = runModel(terms, seat, allRules);
  expect(hasFailed).toBe(false);
  expect(states).toBeGreaterThan(1_000);
});

// Guards against a model that finds nothing, and shows what each rule is for.
it('finds the fault where one of the rules is left out', () => {
  const anyOrder = { ...allRules, isNewDiskFirst: false };
  const anyEntry = { ...allRules, isEntryCounted: false };
  expect({
    anyOrder: runModel([1, 1], 'a', anyOrder).isBroken,
    anyOrderOfTwoTerms: runModel([1, 2], 'a', anyOrder).isBroken,
    anyEntry: runModel([1, 2], 'a', anyEntry).isBroken,
  }).toEqual({ anyOrder: true, anyOrderOfTwoTerms: true, anyEntry: true });
});
