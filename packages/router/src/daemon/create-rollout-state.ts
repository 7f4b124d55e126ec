import { RelayError } from '@vanillarelay/core';
import type { FleetNode } from '@vanillarelay/fleet';
import type { RolloutState } from './rollout-state.js';

type RolloutNode = Pick<FleetNode, 'view' | 'listRollouts' | 'proposeRolloutEnd'>;

/** Creates the access to the roll-outs in the replicated state of a fleet node. */
export function createRolloutState(node: RolloutNode): RolloutState {
  return {
    listRollouts: () => (node.view.isCurrent ? node.listRollouts() : undefined),
    proposeRolloutEnd: async (service, startIndex, outcome) => {
      const result = await node.proposeRolloutEnd(service, startIndex, outcome);
      if (!result.ok) throw new RelayError(result.code, result.message);
    },
  };
}
