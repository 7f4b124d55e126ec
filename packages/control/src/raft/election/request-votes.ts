import type { RaftContext } from '../raft-context.js';
import type { Candidacy } from './candidacy.js';
import { requestAll } from './request-all.js';
import { requestVote } from './request-vote.js';
import type { Voter } from './voter.js';

/**
 * Requests the votes of all voters; resolves with the voters that granted theirs, by disk id, as soon
 * as they suffice, or with undefined when they do not. @internal
 */
export async function requestVotes(
  context: RaftContext,
  term: number,
  { electorate: { voters, hasQuorum }, newDisk }: Candidacy,
): Promise<Map<string, Voter> | undefined> {
  const ownDiskId = context.log.identity.diskId;
  const granted = new Map<string, Voter>();
  const request = async (voter: Voter): Promise<void> => {
    const reply = await requestVote(context, voter, { term, isPreVote: false });
    if (reply?.isGranted) {
      granted.set(reply.from.diskId, { ...voter, diskId: reply.from.diskId });
    }
  };
  voters
    .filter(({ diskId }) => diskId === ownDiskId)
    .forEach((voter) => granted.set(ownDiskId, voter));
  // A new disk votes before the others: two candidates could otherwise each count the vote of a disk
  // from before its loss and that of a new disk in the other one's place.
  if (newDisk) {
    await request(newDisk).catch(() => {});
    if (!granted.has(newDisk.diskId)) return undefined;
  }
  const others = voters.filter(({ diskId }) => diskId === undefined || !granted.has(diskId));
  await requestAll(others, request, () => hasQuorum(granted));
  return hasQuorum(granted) ? granted : undefined;
}
