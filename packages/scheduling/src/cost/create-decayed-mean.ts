interface DecayedMeanOptions {
  prior: number;
  /** Standard deviation that is assumed at first. */
  priorSpread: number;
  /** Weight of the prior, in units of the weights of values. */
  priorWeight: number;
  /** Weight at which older values begin to be forgotten. */
  maxWeight: number;
}

/** Creates a mean and spread of values in which older values weigh less. */
export function createDecayedMean(options: DecayedMeanOptions) {
  let mean = options.prior;
  let variance = options.priorSpread ** 2;
  let weight = options.priorWeight;
  return {
    add: (value: number, valueWeight = 1): void => {
      const share = valueWeight / (weight + valueWeight);
      const difference = value - mean;
      mean += share * difference;
      variance = (1 - share) * (variance + share * difference ** 2);
      weight = Math.min(options.maxWeight, weight + valueWeight);
    },
    readMean: (): number => mean,
    readSpread: (): number => Math.sqrt(variance),
  };
}
