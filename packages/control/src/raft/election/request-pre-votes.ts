import type { Group } from '../membership/group.js';
import { replaceDisk } from '../membership/replace-disk.js';
import type { RaftContext } from '../raft-context.js';
import type { Candidacy } from './candidacy.js';
import { findElectorate } from './find-electorate.js';
import { requestAll } from './request-all.js';
import { requestVote } from './request-vote.js';
import type { Voter } from './voter.js';

/** A voter that replied from another disk than its own. */
interface NewDisk {
  lostDiskId: string;
  voter: Voter & { diskId: string };
}

/**
 * Asks all voters whether they would grant their vote; resolves with how this node can be elected, as
 * soon as that is known, or with undefined when it can't. @internal
 */
export async function requestPreVotes(
  context: RaftContext,
  term: number,
): Promise<Candidacy | undefined> {
  const electorate = findElectorate(context);
  if (!electorate) return undefined;
  const granted = new Map<string, Voter>();
  const newDisks: NewDisk[] = [];
  const request = async (voter: Voter): Promise<void> => {
    const reply = await requestVote(context, voter, { term, isPreVote: true });
    if (!reply) return;
    const { id, diskId } = reply.from;
    if (reply.isGranted) granted.set(diskId, { ...voter, diskId });
    if (reply.isOtherDisk && voter.diskId !== undefined && id === voter.id) {
      newDisks.push({ lostDiskId: voter.diskId, voter: { ...voter, diskId } });
    }
  };
  const findCandidacy = (): Candidacy | undefined => {
    if (electorate.hasQuorum(granted)) return { electorate };
    return newDisks
      .map((newDisk) => buildCandidacy(context, newDisk))
      .find(
        (candidacy) =>
          candidacy?.newDisk &&
          candidacy.electorate.hasQuorum(addVoter(granted, candidacy.newDisk)),
      );
  };
  const ownDiskId = context.log.identity.diskId;
  const isOwn = ({ diskId }: Voter) => diskId === ownDiskId;
  electorate.voters.filter(isOwn).forEach((voter) => granted.set(ownDiskId, voter));
  await requestAll(
    electorate.voters.filter((voter) => !isOwn(voter)),
    request,
    () => findCandidacy() !== undefined,
  );
  return findCandidacy();
}

/** Builds the candidacy in which the new disk takes its voter's seat. */
function buildCandidacy(
  context: RaftContext,
  { lostDiskId, voter }: NewDisk,
): Candidacy | undefined {
  const { group, possibleGroups } = context;
  if (!group?.members.some(({ diskId }) => diskId === lostDiskId)) return undefined;
  const replacement: Group = {
    ...replaceDisk(group, lostDiskId, voter.diskId),
    earliestIndex: possibleGroups[0]?.index ?? 0,
  };
  const electorate = findElectorate(context, replacement);
  return electorate && { electorate, newDisk: voter, replacement };
}

function addVoter(
  granted: ReadonlyMap<string, Voter>,
  voter: Voter & { diskId: string },
): ReadonlyMap<string, Voter> {
  return new Map([...granted, [voter.diskId, voter]]);
}
