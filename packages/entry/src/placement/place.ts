import type { EndpointId, Hash, Member, Random } from '@vanillarelay/core';
import type { Candidates } from './candidates.js';

interface PlacementInput {
  /** The chat with its account, `account/chat`; absent for requests without a chat. */
  chatKey?: string | undefined;
  candidates: Candidates;
  /** Endpoints that refused this request or could not be reached. */
  tried: ReadonlySet<EndpointId>;
  /** The endpoint that holds the chat, as an agent named it. */
  holder?: EndpointId | undefined;
  /** Whether the chat's home agent has answered. */
  isHomeAsked: boolean;
  /** Running requests of an endpoint as far as this entry knows. */
  readLoad: (endpoint: EndpointId) => number;
  hash: Hash;
  random: Random;
}

interface Placement {
  member: Member;
  /** Whether the endpoint takes the chat over from the one that holds it. */
  takeOver: boolean;
}

/** Decides which endpoint gets the next attempt; undefined when none is left. */
export type Place = (input: PlacementInput) => Placement | undefined;
