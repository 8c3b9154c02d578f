/** Part of the work on a model that an engine takes. */
export enum EngineRole {
  Both = 'both',
  Prefill = 'prefill',
  Decode = 'decode',
}

/** What a drain mark stands for. */
export enum DrainScope {
  Vm = 'vm',
  Upstream = 'upstream',
  DataCentre = 'data_centre',
}
