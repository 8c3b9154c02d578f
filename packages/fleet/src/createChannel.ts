import { Stream } from 'most';

import type { Scheduler, Sink } from 'most';

/** A stream to which values are pushed imperatively. */
export interface Channel<Value> {
  readonly stream: Stream<Value>;
  /** Sends a value to all current observers. */
  readonly push: (value: Value) => void;
  /** Ends the stream for all observers. */
  readonly end: () => void;
}

interface Observer<Value> {
  readonly sink: Sink<Value>;
  readonly scheduler: Scheduler;
}

/**
 * Creates a channel.
 *
 * @param getInitialValue - returns the first value sent to a new observer, or undefined for none
 * @returns the channel
 */
export const createChannel = <Value>(
  getInitialValue: () => Value | undefined = () => undefined,
): Channel<Value> => {
  const observers = new Set<Observer<Value>>();
  const run = (sink: Sink<Value>, scheduler: Scheduler) => {
    const observer = { sink, scheduler };
    // A source must not emit while it is being started.
    queueMicrotask(() => {
      const initialValue = getInitialValue();
      if (initialValue !== undefined) sink.event(scheduler.now(), initialValue);
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
