import type { EndpointId } from '@vanillarelay/core';
import type { HeldTokens } from './held-tokens.js';
import type { MemoryNeed } from './memory-need.js';

interface HeldByEndpoint {
  ownTokens: number;
  requests: number;
  /** Requests in flight with each shared part. */
  parts: Map<string, { tokens: number; requests: number }>;
}

interface MemoryRequest {
  need: MemoryNeed;
  /** Tokens that the memory of the endpoint holds. */
  memoryTokens: number;
  /** Requests in flight at the endpoint from other routers. */
  remoteLoad: number;
}

/** Part of the memory above which other endpoints are preferred. */
const preferredShare = 0.75;
/** Part of the memory above which an endpoint gets no request; the rest covers late news. */
const usableShare = 0.95;
/** Part of the memory from which a router reports what its requests hold. */
const reportedShare = 0.5;
/** Weight of the newest request in the mean of what one holds. */
const meanWeight = 0.05;

/**
 * Creates the view of the tokens that requests in flight hold at engines. Own tokens are counted for
 * each request; shared parts once for each endpoint, and only those of this router's requests.
 */
export function createEngineMemory() {
  const held = new Map<EndpointId, HeldByEndpoint>();
  let remote: Partial<HeldTokens> = {};
  let meanTokens: number | undefined;

  const estimateRemote = (id: EndpointId, load: number): number =>
    Math.max(remote[id] ?? 0, load * (meanTokens ?? 0));

  const readOwn = (id: EndpointId): number => {
    const { ownTokens = 0, parts = new Map<string, { tokens: number }>() } = held.get(id) ?? {};
    return [...parts.values()].reduce((sum, { tokens }) => sum + tokens, ownTokens);
  };

  const computeAdded = (id: EndpointId, { ownTokens, sharedParts }: MemoryNeed): number => {
    const known = held.get(id)?.parts;
    return sharedParts
      .filter((part) => !known?.has(part.id))
      .reduce((sum, { tokens }) => sum + tokens, ownTokens);
  };

  return {
    /** Records that a request was sent. */
    start: (id: EndpointId, { ownTokens, sharedParts }: MemoryNeed): void => {
      meanTokens = (meanTokens ?? ownTokens) * (1 - meanWeight) + ownTokens * meanWeight;
      const entry = held.get(id) ?? { ownTokens: 0, requests: 0, parts: new Map() };
      held.set(id, entry);
      entry.ownTokens += ownTokens;
      entry.requests += 1;
      sharedParts.forEach(({ id: part, tokens }) => {
        const requests = (entry.parts.get(part)?.requests ?? 0) + 1;
        entry.parts.set(part, { tokens, requests });
      });
    },
    /** Records that a request which was sent has ended. */
    stop: (id: EndpointId, { ownTokens, sharedParts }: MemoryNeed): void => {
      const entry = held.get(id);
      if (!entry) return;
      entry.ownTokens -= ownTokens;
      entry.requests -= 1;
      if (entry.requests <= 0) held.delete(id);
      sharedParts.forEach(({ id: part }) => {
        const known = entry.parts.get(part);
        if (!known) return;
        known.requests -= 1;
        if (known.requests <= 0) entry.parts.delete(part);
      });
    },
    /**
     * Whether an endpoint has memory for a request: `free`, `short` when others are preferred, or
     * `none`. One that holds nothing takes any request.
     */
    check: (
      id: EndpointId,
      { need, memoryTokens, remoteLoad }: MemoryRequest,
    ): 'free' | 'short' | 'none' => {
      const before = readOwn(id) + estimateRemote(id, remoteLoad);
      if (before === 0) return 'free';
      const share = (before + computeAdded(id, need)) / memoryTokens;
      if (share > usableShare) return 'none';
      return share > preferredShare ? 'short' : 'free';
    },
    /** Tokens that this router's requests hold, of endpoints that are not far from their memory. */
    readLocal: (
      findMemory: (id: EndpointId) => number | undefined,
      findRemoteLoad: (id: EndpointId) => number,
    ): HeldTokens => {
      const reports: HeldTokens = {};
      held.forEach(({ ownTokens }, id) => {
        const memoryTokens = findMemory(id);
        if (memoryTokens === undefined) return;
        const total = readOwn(id) + estimateRemote(id, findRemoteLoad(id));
        if (total >= memoryTokens * reportedShare) reports[id] = Math.round(ownTokens);
      });
      return reports;
    },
    /** Replaces what the requests of the other routers hold. */
    updateRemote: (reports: Partial<HeldTokens>): void => {
      remote = reports;
    },
    readOwn,
  };
}
