import { ResultCode, type CommandResult } from '@vanillarelay/core';
import { buildPatch } from '../content/build-patch.js';
import type { Content } from '../content/content.js';
import type { ContentReceiver } from '../content/content-receiver.js';
import type { ContentStore } from '../content/content-store.js';
import { createContentReceiver } from '../content/create-content-receiver.js';
import { emptyContent } from '../content/empty-content.js';
import type { ConfigProposal } from '../messages/config-proposal.js';
import type { ProposalReply } from '../messages/proposal-reply.js';
import type { PatchConfig } from '../state/patch-config.js';
import type { SharedState } from '../state/shared-state.js';

interface ConfigProposalsOptions {
  contents: ContentStore;
  /** Returns the state that is committed and applied here. */
  readState: () => SharedState;
  /** Throws `notLeader` unless this node leads. */
  checkLeader: () => void;
  commit: (command: PatchConfig) => Promise<CommandResult>;
}

/** Number of contents that may be received at once. */
const maxReceivers = 16;
/** Attempts to commit one configuration while others change its base. */
const maxCommitAttempts = 5;

/** Creates the leader's side of proposed configurations. */
export function createConfigProposals(options: ConfigProposalsOptions) {
  const { contents, readState, checkLeader, commit } = options;
  const receivers = new Map<string, ContentReceiver>();
  const pending = new Map<string, Promise<CommandResult>>();
  let lastCommit: Promise<unknown> = Promise.resolve();

  const findOrAddReceiver = (key: string): ContentReceiver => {
    const receiver = receivers.get(key) ?? createContentReceiver(contents.find);
    receivers.set(key, receiver);
    const [oldest = ''] = receivers.keys();
    if (receivers.size > maxReceivers) receivers.delete(oldest);
    return receiver;
  };

  const receivePart = ({ hash, part }: ConfigProposal): Content | undefined => {
    if (!part) return undefined;
    const key = buildKey(hash, part.baseHash);
    const content = findOrAddReceiver(key).receive(part);
    if (content) receivers.delete(key);
    return content;
  };

  const buildMissing = ({ hash, heldHash }: ConfigProposal): ProposalReply => {
    const { hash: baseHash } = contents.find(heldHash) ?? emptyContent;
    const position = receivers.get(buildKey(hash, baseHash))?.readPosition();
    return { type: 'contentMissing', baseHash, offset: position?.offset ?? 0 };
  };

  const commitContent = async (version: number, content: Content): Promise<CommandResult> => {
    for (let attempt = 1; ; attempt += 1) {
      const base = readState();
      if (version <= base.version) return { ok: true, index: base.index };
      const { hash, source } = content;
      const patch = buildPatch(base.source, source);
      const command = { version, hash, baseHash: base.hash, patch };
      const result = await commit({ type: 'patchConfig', ...command });
      const isConflict = !result.ok && result.code === ResultCode.versionConflict;
      if (!isConflict || attempt >= maxCommitAttempts) return result;
    }
  };

  /** Commits one configuration after another, since each is a patch of the one before it. */
  const commitInOrder = (version: number, content: Content): Promise<CommandResult> => {
    const result = lastCommit.then(() => commitContent(version, content));
    lastCommit = result.catch(() => {});
    return result;
  };

  return {
    /** Handles a proposal; one that repeats a committed or pending version needs no content. */
    propose: async (proposal: ConfigProposal): Promise<ProposalReply> => {
      const { version, hash } = proposal;
      const current = readState();
      if (version <= current.version) {
        return { type: 'result', result: { ok: true, index: current.index } };
      }
      checkLeader();
      const key = `${version} ${hash}`;
      const running = pending.get(key);
      if (running) return { type: 'result', result: await running };
      const content = contents.find(hash) ?? receivePart(proposal);
      if (!content) return buildMissing(proposal);
      contents.add(content);
      const committed = commitInOrder(version, content);
      pending.set(key, committed);
      try {
        return { type: 'result', result: await committed };
      } finally {
        pending.delete(key);
      }
    },
  };
}

const buildKey = (hash: string, baseHash: string): string => `${hash} ${baseHash}`;
