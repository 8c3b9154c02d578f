/**
 * Finds a cycle in a directed graph.
 *
 * @param edges - targets of the outgoing edges of each node
 * @returns the nodes of one cycle, with its first node repeated at the end, or undefined if there is none
 */
export const findCycle = (
  edges: ReadonlyMap<string, readonly string[]>,
): readonly string[] | undefined => {
  const finished = new Set<string>();
  const findFrom = (node: string, path: readonly string[]): readonly string[] | undefined => {
    const start = path.indexOf(node);
    if (start >= 0) return [...path.slice(start), node];
    if (finished.has(node)) return undefined;
    for (const next of edges.get(node) ?? []) {
      const cycle = findFrom(next, [...path, node]);
      if (cycle !== undefined) return cycle;
    }
    finished.add(node);
    return undefined;
  };
  for (const node of edges.keys()) {
    const cycle = findFrom(node, []);
    if (cycle !== undefined) return cycle;
  }
  return undefined;
};
