import { RelayError, ResultCode, type Clock, type CommandResult } from '@vanillarelay/core';
import type { Content } from '../content/content.js';
import { createContent } from '../content/create-content.js';
import { createContentStore } from '../content/create-content-store.js';
import { emptyContent } from '../content/empty-content.js';
import type { ConfigProposal } from '../messages/config-proposal.js';
import type { ProposalReply } from '../messages/proposal-reply.js';
import type { PutConfig } from '../state/put-config.js';

interface ProposeConfigOptions {
  clock: Pick<Clock, 'monotonic'>;
  command: PutConfig;
  /** The configuration that this daemon holds, as a base. */
  held: Content;
  callLeader: (proposal: ConfigProposal) => Promise<ProposalReply>;
}

/** Time limit of all calls of a proposal; each call has its own. */
const proposalTimeoutMs = 10_000;

/** Proposes a configuration to the leader and sends the parts that it asks for. */
export async function proposeConfig(options: ProposeConfigOptions): Promise<CommandResult> {
  const { clock, command, held, callLeader } = options;
  const { version, source } = command;
  const target = createContent(source);
  const { buildPart } = createContentStore();
  const deadline = clock.monotonic() + proposalTimeoutMs;
  let proposal: ConfigProposal = {
    type: 'putConfig',
    ...{ version, hash: target.hash, heldHash: held.hash },
  };
  while (clock.monotonic() < deadline) {
    const reply = await callLeader(proposal);
    if (reply.type === 'result') return reply.result;
    const base = reply.baseHash === held.hash ? held : emptyContent;
    proposal = { ...proposal, part: buildPart(base, target, reply.offset) };
  }
  throw new RelayError(ResultCode.timeout, `version ${version} was not sent in time`);
}
