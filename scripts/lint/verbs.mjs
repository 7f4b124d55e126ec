import { readFileSync } from 'node:fs';

const page = readFileSync(new URL('../../docs/verbs.md', import.meta.url), 'utf8');

/** The verbs of docs/verbs.md: the first word in backticks of each list line. */
export default [...page.matchAll(/^- `([a-z]+)`/gm)].map((match) => match[1]);
