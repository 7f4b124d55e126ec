import { RelayError, ResultCode } from '@vanillarelay/core';
import { applyPatch } from './apply-patch.js';
import type { Content } from './content.js';
import type { ContentHash } from './content-hash.js';
import type { ContentPart } from './content-part.js';
import { createContent } from './create-content.js';
import type { IncomingPosition } from './incoming-position.js';

type Incoming = Required<ContentPart>;

/**
 * Creates the receiver of a content that arrives in parts, from one daemon after another; `findBase`
 * finds the contents that this daemon holds.
 */
export function createContentReceiver(findBase: (hash: ContentHash) => Content | undefined) {
  let incoming: Incoming | undefined;

  const start = ({ spans, ...part }: ContentPart): void => {
    incoming = spans && { ...part, spans, text: '', offset: 0 };
  };

  return {
    /**
     * Adds a part; returns the content once it is complete. A part that does not continue what was
     * received changes nothing, and one at offset 0 of another content starts again.
     */
    receive: (part: ContentPart): Content | undefined => {
      const { hash, baseHash, offset } = part;
      const base = findBase(baseHash);
      if (incoming?.hash !== hash || incoming.baseHash !== baseHash) start(part);
      if (!base) incoming = undefined;
      if (!base || !incoming) return undefined;
      if (offset === incoming.text.length) incoming.text += part.text;
      if (incoming.text.length < incoming.totalLength) return undefined;
      const content = createContent(applyPatch(base.source, incoming));
      incoming = undefined;
      if (content.hash === hash) return content;
      throw new RelayError(ResultCode.malformedMessage, `content ${hash} is damaged`);
    },
    clear: (): void => {
      incoming = undefined;
    },
    /** What has been received; undefined while nothing is incomplete. */
    readPosition: (): IncomingPosition | undefined =>
      incoming && {
        hash: incoming.hash,
        baseHash: incoming.baseHash,
        offset: incoming.text.length,
      },
  };
}
