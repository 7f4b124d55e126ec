import { toId, type AccountId } from '@vanillarelay/core';
import type { TrafficOptions } from '../load/traffic-options.js';

type ChatTraffic = Pick<
  TrafficOptions,
  'accounts' | 'pauseMs' | 'longPause' | 'turns' | 'turnCharacters'
>;

/** Chat traffic of the measurements; one pause in ten is four times as long on average. */
export const chatTraffic: ChatTraffic = {
  accounts: [{ id: toId<AccountId>('bench'), weight: 1 }],
  pauseMs: 6_500,
  longPause: { share: 0.1, factor: 4 },
  turns: 10,
  turnCharacters: [100, 900],
};
