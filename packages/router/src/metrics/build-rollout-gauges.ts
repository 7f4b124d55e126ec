import type { RolloutTraffic } from '@vanillarelay/routing';

/** Gauges of the roll-outs in progress: this router's part, and the answers of all routers. */
export function buildRolloutGauges(
  rollouts: ReturnType<RolloutTraffic['list']>,
): Record<string, number> {
  const gauges = rollouts.flatMap(({ service, to, sent, requests, share, ageMs, verdict }) => {
    const labels = `{service="${service}",version="${to}"}`;
    return [
      [`relay_rollout_requests${labels}`, requests],
      [`relay_rollout_sent${labels}`, sent],
      [`relay_rollout_share${labels}`, share],
      [`relay_rollout_age_ms${labels}`, Math.round(ageMs)],
      [`relay_rollout_good_answers${labels}`, verdict.good],
      [`relay_rollout_bad_answers${labels}`, verdict.bad],
    ] as const;
  });
  return Object.fromEntries(gauges);
}
