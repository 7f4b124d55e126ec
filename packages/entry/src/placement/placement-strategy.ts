import type { EndpointId, Hash, Member, Random } from '@vanillarelay/core';
import type { Candidates } from './candidates.js';

interface PlacementInput {
  /** The chat with its account, `account/chat`; absent for requests without a chat. */
  chatKey?: string | undefined;
  candidates: Candidates;
  /** Endpoints that refused this request or could not be reached. */
  tried: ReadonlySet<EndpointId>;
  /** The endpoint that holds the chat, according to the agent that was asked last. */
  holder?: EndpointId | undefined;
  /** Whether an agent has named the holder of the chat, or refused for lack of capacity. */
  isHolderLookupDone: boolean;
  /** Returns the number of running requests of an endpoint, as far as this entry knows. */
  readLoad: (endpoint: EndpointId) => number;
  hash: Hash;
  random: Random;
}

interface Placement {
  member: Member;
  /** Whether the endpoint takes the chat over from the one that holds it. */
  takeOver: boolean;
}

/** Chooses the endpoint for the next attempt; undefined when none is left. */
export type PlacementStrategy = (input: PlacementInput) => Placement | undefined;
