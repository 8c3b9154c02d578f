/** Background tasks, tracked so that shutdown can wait for them. */
export interface TaskSet {
  readonly addTask: (task: Promise<unknown>) => void;
  readonly countTasks: () => number;
  /** Waits until all tasks have ended, including those added in the meantime. */
  readonly drain: () => Promise<void>;
}

/**
 * Creates an empty set of tasks.
 *
 * @returns the set
 */
export const createTaskSet = (): TaskSet => {
  const tasks = new Set<Promise<unknown>>();

  const addTask = (task: Promise<unknown>) => {
    if (tasks.has(task)) return;
    tasks.add(task);
    const remove = () => tasks.delete(task);
    task.then(remove, remove);
  };

  const drain = async (): Promise<void> => {
    while (tasks.size > 0) await Promise.allSettled(tasks);
  };

  return { addTask, countTasks: () => tasks.size, drain };
};
