import { buildContentPart } from './build-content-part.js';
import { buildPatch } from './build-patch.js';
import type { Content } from './content.js';
import type { ContentHash } from './content-hash.js';
import type { ContentPart } from './content-part.js';
import type { ContentPosition } from './content-position.js';
import { emptyContent } from './empty-content.js';
import type { Patch } from './patch.js';

/** Number of contents and of patches that are kept. */
const maxContents = 16;
const maxPatches = 16;
/** Length of all kept contents together, in characters. */
const maxTotalLength = 8 * 1024 * 1024;

/**
 * Creates a hub's store of the recent configurations, from which it sends other daemons what they
 * lack.
 */
export function createContentStore() {
  const contents = new Map<ContentHash, Content>();
  const patches = new Map<string, Patch>();

  const find = (hash: ContentHash): Content | undefined =>
    hash === emptyContent.hash ? emptyContent : contents.get(hash);

  const add = (content: Content): void => {
    contents.delete(content.hash);
    contents.set(content.hash, content);
    let totalLength = [...contents.values()].reduce((sum, { source }) => sum + source.length, 0);
    contents.forEach(({ hash, source }) => {
      const isOverLimit = contents.size > maxContents || totalLength > maxTotalLength;
      if (!isOverLimit || hash === content.hash) return;
      contents.delete(hash);
      totalLength -= source.length;
    });
  };

  const findOrBuildPatch = (base: Content, target: Content): Patch => {
    const key = `${base.hash} ${target.hash}`;
    const patch = patches.get(key) ?? buildPatch(base.source, target.source);
    patches.delete(key);
    patches.set(key, patch);
    const [oldest = ''] = patches.keys();
    if (patches.size > maxPatches) patches.delete(oldest);
    return patch;
  };

  const buildPart = (base: Content, target: Content, offset: number): ContentPart =>
    buildContentPart({
      ...{ hash: target.hash, baseHash: base.hash, offset },
      patch: findOrBuildPatch(base, target),
    });

  return {
    add,
    find,
    /**
     * Builds the next part for a daemon: of the content that it is receiving, if it is still kept,
     * otherwise of the target. Undefined if the daemon holds the target.
     */
    buildNextPart: (target: Content, position: ContentPosition): ContentPart | undefined => {
      const { heldHash, incoming } = position;
      const started = incoming && find(incoming.hash);
      const startedBase = incoming && find(incoming.baseHash);
      if (started && startedBase) return buildPart(startedBase, started, incoming.offset);
      if (target.hash === heldHash) return undefined;
      return buildPart(find(heldHash) ?? emptyContent, target, 0);
    },
    buildPart,
  };
}
