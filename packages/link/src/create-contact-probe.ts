import {
  RelayError,
  withTimeout,
  type AgentClient,
  type Clock,
  type ContactReport,
  type DataCentreId,
  type EndpointId,
  type Hlc,
  type Member,
  type Random,
} from '@vanillarelay/core';
import { contactLimits } from './contact-limits.js';
import type { ContactEvidence } from './contact-evidence.js';
import type { ControlNode } from './control-node.js';
import { isQuorumLost } from './is-quorum-lost.js';
import { selectPeers } from './select-peers.js';
import type { ViewStore } from './view-store.js';

interface ContactProbeOptions {
  clock: Clock;
  random: Random;
  hlc: Hlc;
  controls: readonly ControlNode[];
  store: ViewStore;
  evidence: ContactEvidence;
  openPeer: ((address: string) => Pick<AgentClient, 'readContact'>) | undefined;
  findSelf: () => { endpoint: EndpointId | undefined; dataCentre: DataCentreId | undefined };
}

type ProbeResult = 'quorum' | 'noQuorum' | 'refused' | 'silent';

/**
 * Time limit of a control node's reply. Two rounds must end within the lease of 3 s, counted from
 * the last frame, so that a fleet that lost all control nodes serves without a gap between
 * `attached` and `leaderless`.
 */
const controlTimeoutMs = 500;
const peerTimeoutMs = 250;
/** Time without a report of a quorum from a control node after which a round also asks peers. */
const peerProbeDelayMs = 250;

/**
 * Creates the probe with which a daemon without a live hub asks all control nodes, and then peers,
 * whether there is a quorum.
 */
export function createContactProbe(options: ContactProbeOptions) {
  const { clock, random, hlc, controls, store, evidence, openPeer, findSelf } = options;

  /**
   * Asks one control node for its quorum; the evidence dates from when the request was sent. The
   * reply has no membership, so it does not allow a daemon that has just started to serve.
   */
  const requestQuorum = async ({ client }: ControlNode): Promise<ProbeResult> => {
    const sentAt = clock.monotonic();
    const version = store.readVersion();
    try {
      const reply = await withTimeout(clock, controlTimeoutMs, (signal) =>
        client.readQuorum(version, signal),
      );
      hlc.receive(reply.at);
      store.updateState(reply, version);
      if (reply.quorumAgeMs > contactLimits.quorumFreshMs) return 'noQuorum';
      // A live quorum does not count until this daemon has the state that the quorum accepted.
      if (store.readVersion() < reply.stateVersion) return 'silent';
      evidence.quorumSeenAt = Math.max(evidence.quorumSeenAt, sentAt - reply.quorumAgeMs);
      return 'quorum';
    } catch (error) {
      return error instanceof RelayError && error.notRun ? 'refused' : 'silent';
    }
  };

  const requestPeer = async (member: Member): Promise<ContactReport | undefined> => {
    const peer = openPeer?.(member.address);
    if (!peer) return undefined;
    const sentAt = clock.monotonic();
    const version = store.readVersion();
    try {
      const report = await withTimeout(clock, peerTimeoutMs, (signal) =>
        peer.readContact(version, signal),
      );
      if (report.contact !== 'attached') return report;
      if (report.state) {
        store.updateState({ state: report.state, stateVersion: report.state.version }, version);
      }
      evidence.relaySeenAt = Math.max(evidence.relaySeenAt, sentAt - report.quorumAgeMs);
      evidence.isStateConfirmed = true;
      return report;
    } catch {
      return undefined;
    }
  };

  const requestPeers = async (): Promise<ContactReport[]> => {
    const { members } = store.readView();
    const peers = selectPeers({ members: members.values(), self: findSelf().endpoint, random });
    const reports = await Promise.all(peers.map(requestPeer));
    return reports.filter((report) => report !== undefined);
  };

  /**
   * Applies the state of serving peers, so that a newly started daemon can use it without a quorum.
   */
  const applyPeerStates = (reports: readonly ContactReport[]): void => {
    reports.forEach(({ contact, state }) => {
      if (contact !== 'leaderless') return;
      if (state) store.updateState({ state, stateVersion: state.version }, store.readVersion());
      evidence.isStateConfirmed = true;
    });
  };

  /** Records that a round found no quorum, as far as its replies show this. */
  const recordLoss = (
    results: readonly ProbeResult[],
    reports: readonly ContactReport[],
    startedAt: number,
  ): void => {
    if (results.includes('quorum')) return;
    const withoutQuorum = results.filter((result) => result !== 'silent').length;
    const isMajority = withoutQuorum > controls.length / 2;
    evidence.silenceSeenAt = startedAt;
    if (isMajority) evidence.majorityLossSeenAt = startedAt;
    const { state } = store.readView();
    const ownDataCentre = findSelf().dataCentre;
    if (!isMajority && !isQuorumLost({ reports, state, ownDataCentre })) return;
    evidence.quorumLossSeenAt = startedAt;
    applyPeerStates(reports);
  };

  /** Runs one round; resolves to the first control node that reported a quorum, if any. */
  const run = async (): Promise<ControlNode | undefined> => {
    const startedAt = clock.monotonic();
    let liveNode: ControlNode | undefined;
    const round = Promise.all(
      controls.map(async (node) => {
        const result = await requestQuorum(node);
        if (result === 'quorum') liveNode ??= node;
        return result;
      }),
    );
    await Promise.race([round, clock.wait(peerProbeDelayMs)]);
    if (liveNode) return liveNode;
    const [results, reports] = await Promise.all([round, requestPeers()]);
    recordLoss(results, reports, startedAt);
    return liveNode;
  };

  return { run, requestQuorum };
}
