/**
 * Sends requests to all targets at once; resolves as soon as enough of them were answered, or when all
 * have been answered or have failed.
 */
export function requestAll<T>(
  targets: readonly T[],
  request: (target: T) => Promise<void>,
  isEnough: () => boolean,
): Promise<void> {
  return new Promise((resolve) => {
    let outstanding = targets.length;
    if (outstanding === 0 || isEnough()) resolve();
    const settle = (): void => {
      outstanding -= 1;
      if (outstanding === 0 || isEnough()) resolve();
    };
    targets.forEach((target) => request(target).then(settle, settle));
  });
}
