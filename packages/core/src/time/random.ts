/** Source of numbers in [0, 1). */
export type Random = () => number;
