import type { NodeAddress } from './node-address.js';

/** One step that the leader takes to adjust the membership. */
export type MembershipChange =
  | { type: 'removeVoter'; diskId: string }
  | { type: 'removeLearner'; diskId: string }
  | { type: 'addLearner'; node: NodeAddress }
  /** Makes a learner a voter, after the voter on the disk `lostDiskId` was removed. */
  | { type: 'promote'; diskId: string; lostDiskId?: string };
