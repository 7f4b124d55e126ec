import type { StateStore } from './state-store.js';
import type { createRaftNode } from './raft/create-raft-node.js';

/** A store that keeps its state in the replicated log. */
export type ReplicatedStore = StateStore &
  Pick<
    ReturnType<typeof createRaftNode>,
    'handlers' | 'start' | 'stop' | 'confirmLeadership' | 'replaceMember' | 'readStatus'
  >;
