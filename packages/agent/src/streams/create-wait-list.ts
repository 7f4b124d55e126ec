/** Makes a list of tasks that wait for the next change. */
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
