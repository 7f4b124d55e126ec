import type { ServiceId } from '@vanillarelay/core';
import { createDecayedMean } from './create-decayed-mean.js';
import type { DecayedMean } from './decayed-mean.js';

interface Prompts {
  /** Share of new prompts that were seen to be held. */
  seen: DecayedMean;
  /** Number of prompts that this router sent; older ones are forgotten. */
  sent: number;
  /** Number of pairs of them, and of those that were the same prompt. */
  pairs: number;
  samePairs: number;
}

/** Age of an endpoint up to which the share of prompts that it holds grows. */
const fillMs = 5_000;
/** A router that has just started assumes that most homes hold their prompts. */
const seenPrior = { prior: 0.6, priorSpread: 0.5, priorWeight: 3, maxWeight: 20 };
/** Reading below this time is too short to be told from the rest of the time to the first event. */
const minToldMs = 15;
/** Number of prompts over which pairs are counted. */
const windowSize = 500;
/** Assumed at first: one pair in this many is of the same prompt. */
const priorPairs = 300;

/**
 * Creates the estimate of how many of the prompts that are new to this router their homes hold,
 * because other routers sent them. There are two: one from the times to the first event, which is too
 * low while requests wait, and one from how often prompts return at this router, which knows nothing
 * of the time before its start. The higher one counts.
 */
export function createHeldShare() {
  const services = new Map<ServiceId, Prompts>();
  const findPrompts = (service: ServiceId): Prompts => {
    const known = services.get(service);
    if (known) return known;
    const created = { seen: createDecayedMean(seenPrior), sent: 0, pairs: 0, samePairs: 0 };
    services.set(service, created);
    return created;
  };

  return {
    /** Estimates it for an endpoint of this age, with this number of routers that send prompts. */
    estimate: (service: ServiceId, ageMs: number, routers: number): number => {
      const { seen, sent, pairs, samePairs } = findPrompts(service);
      const promptCount = (pairs + priorPairs) / (samePairs + 1);
      const sentByOthers = sent * Math.max(0, routers - 1);
      const returning = 1 - Math.exp(-sentByOthers / promptCount);
      const filled = Math.min(1, Math.max(0, ageMs) / fillMs);
      return Math.max(seen.readMean() * filled, returning);
    },
    /** Records that this router sent a prompt, which it had sent before or not. */
    recordSend: (service: ServiceId, isReturning: boolean): void => {
      const prompts = findPrompts(service);
      const kept = 1 - 1 / windowSize;
      prompts.pairs = prompts.pairs * kept + prompts.sent;
      prompts.samePairs = prompts.samePairs * kept + (isReturning ? 1 : 0);
      prompts.sent = Math.min(windowSize, prompts.sent + 1);
    },
    /**
     * Records the time to the first event of a prompt that was new to this router, at its home,
     * against the times that were expected with and without the prompt held there.
     */
    recordSeen: (service: ServiceId, heldMs: number, unreadMs: number, seenMs: number): void => {
      if (unreadMs - heldMs < minToldMs) return;
      const share = (unreadMs - seenMs) / (unreadMs - heldMs);
      findPrompts(service).seen.add(Math.min(1, Math.max(0, share)));
    },
  };
}
