/** What an administrator's key allows. */
export enum AdministratorRole {
  /** See everything. */
  Read = 'read',
  /** Change the configuration and drain marks. */
  Change = 'change',
  /** Decide what became of an order. */
  Settle = 'settle',
}

/** Whether a service can take requests now, as one daemon sees it. */
export enum ServiceState {
  Serving = 'serving',
  /** Some of its upstreams, or of those of a service that it depends on, are out of use. */
  Degraded = 'degraded',
  /** It, or a service that it depends on, has no upstream in use. */
  Down = 'down',
}

/** What became of one line of a configuration between two generations. */
export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}
