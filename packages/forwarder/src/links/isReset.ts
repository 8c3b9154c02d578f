import type { Socket } from 'node:net';

/**
 * Tells whether a connection that has ended was reset. libuv reports a reset that arrives together with the last bytes as an
 * orderly end, but a reset connection has no peer address. Node caches the address once it has been read, so nothing may
 * read it earlier.
 *
 * @param socket - a connection whose `end` event is being handled
 * @returns whether the peer has reset it
 */
export const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;
