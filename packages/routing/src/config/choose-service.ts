import type { Random, ServiceId } from '@vanillarelay/core';
import type { Route } from './route.js';

/** Chooses one of the route's services at random, in proportion to their weights. */
export function chooseService({ targets }: Route, random: Random): ServiceId | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let point = random() * total;
  const drawn = targets.find(({ weight }) => {
    point -= weight;
    return point < 0;
  });
  return (drawn ?? targets.find(({ weight }) => weight > 0))?.service;
}
