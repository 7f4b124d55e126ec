import type { Id } from '../ids/id.js';
import type { Random } from './random.js';

const alphabet = '0123456789abcdefghjkmnpqrstvwxyz';
const idLength = 16;

/** Creates a function that returns new random ids of 80 bits. */
export function createIdGenerator(random: Random) {
  return <T extends Id<string>>(): T => {
    let text = '';
    for (let i = 0; i < idLength; i += 1) text += alphabet[Math.floor(random() * alphabet.length)];
    return text as T;
  };
}
