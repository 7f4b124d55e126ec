/** Weights of endpoints, and the factor up to which each applies. */
const steps = [
  { maxFactor: 1.15, weight: 1 },
  { maxFactor: 1.55, weight: 0.75 },
  { maxFactor: 2.2, weight: 0.55 },
  { maxFactor: 3.5, weight: 0.35 },
  { maxFactor: Infinity, weight: 0.2 },
];
/** A weight changes only when the factor is this share beyond its step. */
const tolerance = 0.06;

/**
 * Computes from how long work takes at an endpoint its weight in the rendezvous order. There are few
 * weights, and a weight is kept near its limits, so that routers with different observations agree.
 */
export function computeSpeedWeight(factor: number, currentWeight: number): number {
  const index = steps.findIndex(({ weight }) => weight === currentWeight);
  const lower = steps[index - 1]?.maxFactor ?? 0;
  const upper = steps[index]?.maxFactor ?? 0;
  if (factor > lower * (1 - tolerance) && factor <= upper * (1 + tolerance)) return currentWeight;
  return steps.find(({ maxFactor }) => factor <= maxFactor)?.weight ?? currentWeight;
}
