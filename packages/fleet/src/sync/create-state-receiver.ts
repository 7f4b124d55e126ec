import type { Clock, EventDetails } from '@vanillarelay/core';
import type { Content } from '../content/content.js';
import type { ContentHash } from '../content/content-hash.js';
import type { ContentPart } from '../content/content-part.js';
import type { ContentPosition } from '../content/content-position.js';
import { createContentReceiver } from '../content/create-content-receiver.js';
import type { SharedState } from '../state/shared-state.js';
import type { StateSummary } from '../state/state-summary.js';

interface StateReceiverOptions {
  clock: Pick<Clock, 'monotonic'>;
  readHeld: () => SharedState;
  /** Finds a content that this daemon's own hub keeps. */
  findContent: (hash: ContentHash) => Content | undefined;
  record: (name: string, details?: EventDetails) => void;
}

/** Creates the receiver of shared states whose configuration arrives in parts. */
export function createStateReceiver(options: StateReceiverOptions) {
  const { clock, readHeld, record } = options;
  const findContent = (hash: ContentHash): Content | undefined =>
    hash === readHeld().hash ? readHeld() : options.findContent(hash);
  const receiver = createContentReceiver(findContent);
  /** The state whose content is being received. */
  let incoming: { state: StateSummary; startedAt: number } | undefined;

  const receivePart = (state: StateSummary, part: ContentPart): SharedState | undefined => {
    const isNew = incoming?.state.hash !== part.hash;
    if (isNew && part.hash === state.hash) incoming = { state, startedAt: clock.monotonic() };
    const content = receiver.receive(part);
    if (!content || incoming?.state.hash !== content.hash) return undefined;
    const { state: received, startedAt } = incoming;
    const ms = Math.round(clock.monotonic() - startedAt);
    if (part.offset > 0) {
      record('fleet.configReceived', { version: received.version, length: part.totalLength, ms });
    }
    incoming = undefined;
    return { ...received, source: content.source };
  };

  return {
    readPosition: (): ContentPosition => {
      const position = receiver.readPosition();
      return { heldHash: readHeld().hash, ...(position ? { incoming: position } : {}) };
    },
    /** Receives a state and a part of a content; returns a state once its content is complete. */
    receive: (state: StateSummary, part?: ContentPart): SharedState | undefined => {
      const content = findContent(state.hash);
      if (content) {
        receiver.clear();
        return { ...state, source: content.source };
      }
      return part && receivePart(state, part);
    },
  };
}
