import { computeExposure } from './compute-exposure.js';
import type { TrafficFigures } from './traffic-figures.js';

/** Shortest last phase, in which old endpoints can become empty. */
const minLastMs = 500;
const maxLastPart = 0.25;

/**
 * Computes how long all requests can go to the new version before the planned end, such that the
 * exposure of the whole roll-out suffices.
 */
export function computeLastMs(figures: TrafficFigures): number {
  const { durationMs, requestsPerMs, newAnswers } = figures;
  if (requestsPerMs <= 0) return minLastMs;
  const lastMs = (computeExposure(figures) - newAnswers) / requestsPerMs;
  return Math.min(durationMs * maxLastPart, Math.max(minLastMs, lastMs));
}
