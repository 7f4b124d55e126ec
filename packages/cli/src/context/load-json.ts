import { parseJson } from '@vanillarelay/config';
import type { CliContext } from './cli-context.js';

/** Reads a JSON file. */
export async function loadJson({ loadText }: Pick<CliContext, 'loadText'>, path: string) {
  return parseJson(await loadText(path), path);
}
