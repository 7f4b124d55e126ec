import { Stream, type Scheduler, type Sink } from 'most';

/** Creates a `most` stream and the function that pushes values into it synchronously. */
export function createPushStream<T>() {
  const sinks = new Set<{ sink: Sink<T>; scheduler: Scheduler }>();
  const run = (sink: Sink<T>, scheduler: Scheduler) => {
    const subscription = { sink, scheduler };
    sinks.add(subscription);
    return {
      dispose: (): void => {
        sinks.delete(subscription);
      },
    };
  };
  const push = (value: T): void =>
    sinks.forEach(({ sink, scheduler }) => sink.event(scheduler.now(), value));
  return { stream: new Stream<T>({ run }), push };
}
