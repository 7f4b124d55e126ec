import type { ServiceId } from '@vanillarelay/core';
import { createDecayedMean } from './create-decayed-mean.js';
import type { DecayedMean } from './decayed-mean.js';

/** Age of an endpoint up to which the share of prompts that it holds grows. */
const fillMs = 5_000;
/** A router that has just started assumes that most homes hold their prompts. */
const heldPrior = { prior: 0.6, priorSpread: 0.5, priorWeight: 3, maxWeight: 20 };
/** Reading below this time is too short to be told from the rest of the time to the first event. */
const minToldMs = 15;

/** Creates the estimate of how many of the prompts that are new to this router their homes hold. */
export function createHeldShare() {
  const services = new Map<ServiceId, DecayedMean>();
  return {
    estimate: (service: ServiceId, ageMs: number): number => {
      const share = services.get(service)?.readMean() ?? heldPrior.prior;
      return share * Math.min(1, Math.max(0, ageMs) / fillMs);
    },
    /**
     * Records the time to the first event of a prompt that was new to this router, at its home,
     * against the times that were expected with and without the prompt held there.
     */
    recordSeen: (service: ServiceId, heldMs: number, unreadMs: number, seenMs: number): void => {
      if (unreadMs - heldMs < minToldMs) return;
      const share = (unreadMs - seenMs) / (unreadMs - heldMs);
      const mean = services.get(service) ?? createDecayedMean(heldPrior);
      mean.add(Math.min(1, Math.max(0, share)));
      services.set(service, mean);
    },
  };
}
