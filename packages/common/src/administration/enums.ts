/** Permission that an administrator's API key grants. */
export enum AdministratorRole {
  /** Read all views of the administration API. */
  Read = 'read',
  /** Change the configuration and start or end drains. */
  Change = 'change',
  /** Settle an order whose outcome is unknown. */
  Settle = 'settle',
}

/** Whether a service can currently take requests, according to one daemon. */
export enum ServiceState {
  Serving = 'serving',
  /** Some upstreams of the service, or of a service that it depends on, are not in use. */
  Degraded = 'degraded',
  /** The service, or a service that it depends on, has no upstream in use. */
  Down = 'down',
}

/** How one key of a configuration differs between two generations. */
export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}
