/** Call by which objects or changes were received. */
export enum SyncSource {
  List = 'list',
  Watch = 'watch',
}
