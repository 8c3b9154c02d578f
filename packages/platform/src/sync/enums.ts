/** Call by which objects or changes were received. */
export enum SyncSource {
  List = 'list',
  Watch = 'watch',
  /** Objects that another VM received from the store. */
  Peer = 'peer',
}

/** Who told this VM of an era of the store. */
export enum EraSource {
  Store = 'store',
  /** Another VM. */
  Peer = 'peer',
}
