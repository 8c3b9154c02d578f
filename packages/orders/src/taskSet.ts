/** Tasks under way that nobody else waits for. */
export interface TaskSet {
  readonly keepTask: (task: Promise<unknown>) => void;
  readonly countTasks: () => number;
  /** Waits until none is left, those added meanwhile included. */
  readonly drain: () => Promise<void>;
}

/**
 * Creates an empty set of tasks.
 *
 * @returns the set
 */
export const createTaskSet = (): TaskSet => {
  const tasks = new Set<Promise<unknown>>();

  const keepTask = (task: Promise<unknown>) => {
    if (tasks.has(task)) return;
    tasks.add(task);
    const remove = () => tasks.delete(task);
    task.then(remove, remove);
  };

  const drain = async (): Promise<void> => {
    while (tasks.size > 0) await Promise.allSettled(tasks);
  };

  return { keepTask, countTasks: () => tasks.size, drain };
};
