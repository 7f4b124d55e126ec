const modulus = 2 ** 31 - 1;
const multiplier = 48_271;
const skippedDraws = 10;

/** Creates a generator of numbers from 0 to below 1 from a seed (Park and Miller, 1988). */
export function createRandom(seed: number): () => number {
  let state = (seed % (modulus - 1)) + 1;
  const draw = (): number => {
    state = (state * multiplier) % modulus;
    return (state - 1) / (modulus - 1);
  };
  // The first draws of neighbouring seeds are similar.
  for (let draws = 0; draws < skippedDraws; draws += 1) draw();
  return draw;
}
