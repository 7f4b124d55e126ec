/** Creates a condition variable: tasks wait until the next `wakeAll`. */
export function createWaitList() {
  let waiting: (() => void)[] = [];
  return {
    wait: (): Promise<void> =>
      new Promise((resolve) => {
        waiting.push(resolve);
      }),
    wakeAll: (): void => {
      const woken = waiting;
      waiting = [];
      woken.forEach((wake) => wake());
    },
  };
}
