import { Stream } from 'most';

import type { Scheduler, Sink } from 'most';

/** A stream that the program feeds itself, event by event. */
export interface Channel<Value> {
  readonly stream: Stream<Value>;
  /** Hands a value to all present observers. */
  readonly push: (value: Value) => void;
  /** Ends the stream for all observers. */
  readonly end: () => void;
}

interface Observer<Value> {
  readonly sink: Sink<Value>;
  readonly scheduler: Scheduler;
}

/**
 * Makes a channel.
 *
 * @param getFirst - gives the value that a new observer sees first, or undefined for none
 * @returns the channel
 */
export const createChannel = <Value>(
  getFirst: () => Value | undefined = () => undefined,
): Channel<Value> => {
  const observers = new Set<Observer<Value>>();
  const run = (sink: Sink<Value>, scheduler: Scheduler) => {
    const observer = { sink, scheduler };
    // A source must not emit while it is being started.
    queueMicrotask(() => {
      const first = getFirst();
      if (first !== undefined) sink.event(scheduler.now(), first);
      observers.add(observer);
    });
    return {
      dispose: () => {
        observers.delete(observer);
      },
    };
  };
  return {
    stream: new Stream<Value>({ run }),
    push: (value) => {
      for (const { sink, scheduler } of [...observers]) sink.event(scheduler.now(), value);
    },
    end: () => {
      for (const { sink, scheduler } of [...observers]) sink.end(scheduler.now());
      observers.clear();
    },
  };
};
