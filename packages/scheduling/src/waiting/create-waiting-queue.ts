import type { Admission } from './admission.js';
import { chooseVictim } from './choose-victim.js';
import { computeAgedUrgency } from './compute-aged-urgency.js';
import { countAhead } from './count-ahead.js';
import { createFairRounds } from './create-fair-rounds.js';
import type { FairRounds } from './fair-rounds.js';
import type { Offer } from './offer.js';
import type { WaitingRequest } from './waiting-request.js';

interface WaitingQueueOptions {
  /** Requests that may wait at the same time. */
  maxLength: number;
}

/** Requests that are offered a place until one takes it. */
const maxOffers = 8;
/** Requests ahead up to which the time to the own turn says too little to refuse a request. */
const minAheadToRefuse = 2;
/** A request is refused only if it would be late even with places becoming free this much faster. */
const optimism = 1.5;
/** Work that an account may have served ahead of its turn. */
const maxDebt = 2;

/**
 * Creates the queue of a service's requests that wait for a place. The most urgent come first, of
 * these the accounts in turn by work, of an account's requests the one that must start earliest.
 */
export function createWaitingQueue<T extends WaitingRequest>({ maxLength }: WaitingQueueOptions) {
  const waiting = new Set<T>();
  const rounds = new Map<number, FairRounds>();

  const findRounds = (rank: number): FairRounds => {
    const known = rounds.get(rank) ?? createFairRounds();
    rounds.set(rank, known);
    return known;
  };

  /** Lists the requests of the most urgent rank that can still start in time. */
  const listFirstRank = (now: number, skipped: ReadonlySet<T>): [number, T[]] => {
    let first = Infinity;
    let found: T[] = [];
    waiting.forEach((request) => {
      if (skipped.has(request) || request.latestStartAt < now) return;
      const rank = computeAgedUrgency(request, now);
      if (rank < first) found = [];
      first = Math.min(first, rank);
      if (rank === first) found.push(request);
    });
    return [first, found];
  };

  const chooseNext = (now: number, skipped: ReadonlySet<T>): [T, FairRounds] | undefined => {
    const [rank, requests] = listFirstRank(now, skipped);
    if (requests.length === 0) return undefined;
    const order = findRounds(rank);
    const returning = requests
      .filter(({ isReturning, account }) => isReturning && order.readCredit(account) > -maxDebt)
      .reduce<T | undefined>((a, b) => (a && a.arrivedAt <= b.arrivedAt ? a : b), undefined);
    if (returning) return [returning, order];
    const heads = new Map<string, T>();
    requests.forEach((request) => {
      const head = heads.get(request.account);
      if (!head || isBefore(request, head)) heads.set(request.account, request);
    });
    const works = new Map([...heads].map(([account, { work }]) => [account, work]));
    const present = new Set(
      [...waiting]
        .filter((request) => computeAgedUrgency(request, now) === rank)
        .map(({ account }) => account),
    );
    const head = heads.get(order.choose(works, present) ?? '');
    return head && [head, order];
  };

  /** Lists the requests that wait with the account and the urgency of one. */
  const listGroup = ({ account, urgency }: T): T[] =>
    [...waiting].filter((other) => other.account === account && other.urgency === urgency);

  const remove = (request: T): boolean => {
    const isRemoved = waiting.delete(request);
    if (waiting.size === 0) rounds.clear();
    return isRemoved;
  };

  return {
    /**
     * Adds a request unless it could not start in time, or the queue is full and no other request
     * leaves it instead.
     */
    admit: (request: T, now: number, placesPerMs: number | undefined): Admission<T> => {
      const ahead = countAhead([...waiting], request, now);
      const isKnown = placesPerMs !== undefined && placesPerMs > 0;
      const expectedMs = isKnown ? (ahead + 1) / placesPerMs : undefined;
      const details = { ahead, ...(expectedMs === undefined ? {} : { expectedMs }) };
      const isLate = now + (expectedMs ?? 0) / optimism > request.latestStartAt;
      if (request.latestStartAt <= now || (isLate && ahead >= minAheadToRefuse))
        return { refusal: 'tooLate', ...details };
      waiting.add(request);
      if (waiting.size <= maxLength) return details;
      const removed = chooseVictim([...waiting]);
      if (removed) remove(removed);
      if (removed === request) return { refusal: 'queueFull', ...details };
      return { ...details, ...(removed ? { removed } : {}) };
    },
    /** Offers a place to the requests in their order until one takes it; returns that one. */
    take: (now: number, offer: (request: T) => Offer): T | undefined => {
      const skipped = new Set<T>();
      for (let offers = 0; offers < maxOffers; offers += 1) {
        const next = chooseNext(now, skipped);
        if (!next) return undefined;
        const [request, order] = next;
        const outcome = offer(request);
        if (outcome === 'noPlace') return undefined;
        if (outcome === 'taken') {
          order.record(request.account, request.work);
          remove(request);
          return request;
        }
        skipped.add(request);
        if (outcome === 'noShare') listGroup(request).forEach((other) => skipped.add(other));
      }
      return undefined;
    },
    remove,
    /** Removes and returns the requests that can no longer start in time. */
    takeExpired: (now: number): T[] => {
      const expired = [...waiting].filter(({ latestStartAt }) => latestStartAt <= now);
      expired.forEach(remove);
      return expired;
    },
    /** Whether a request waits that goes before a newcomer of this urgency. */
    hasBefore: (urgency: number, now: number): boolean =>
      [...waiting].some((request) => computeAgedUrgency(request, now) <= urgency),
    /** Number of waiting requests that would be served before this one. */
    countAhead: (request: WaitingRequest, now: number): number =>
      countAhead([...waiting], request, now),
    list: (): readonly T[] => [...waiting],
    count: (): number => waiting.size,
  };
}

function isBefore(a: WaitingRequest, b: WaitingRequest): boolean {
  if (a.isReturning !== b.isReturning) return a.isReturning;
  return a.latestStartAt < b.latestStartAt;
}
