/** Phases of model inference that an engine performs. */
export enum EngineRole {
  Both = 'both',
  Prefill = 'prefill',
  Decode = 'decode',
}

/** Kind of target that a drain mark applies to. */
export enum DrainScope {
  Vm = 'vm',
  Upstream = 'upstream',
  DataCentre = 'data_centre',
}
