/** Call by which objects or changes were received. */
export enum SyncSource {
  List = 'list',
  Watch = 'watch',
  /** Objects that another VM received from the store. */
  Peer = 'peer',
}
