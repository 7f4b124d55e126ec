import { buildSender } from '../disk/build-sender.js';
import type { PeerReply } from './peer-reply.js';
import type { RaftContext } from '../raft-context.js';

/** The fields that every reply carries. @internal */
export function buildReply(context: RaftContext): PeerReply {
  return { from: buildSender(context), term: context.log.readHardState().term };
}
