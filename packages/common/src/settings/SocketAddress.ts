/** Host and port that a process listens on or connects to. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}
