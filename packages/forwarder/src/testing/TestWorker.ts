import { createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** What a worker does with a request whose head it has read. */
export type WorkerScript = (socket: Socket, head: string) => void;

const HEAD_END = '\r\n\r\n';

/** A worker that answers by a script, byte for byte. */
export class TestWorker {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Heads of the requests that it read, in order. */
  readonly heads: string[] = [];
  /** Connections that were opened to it. */
  connections = 0;
  /** Connections that are gone. */
  closed = 0;

  /** @param script - run for each request */
  constructor(public script: WorkerScript) {
    this.#server = createServer((socket) => {
      this.connections += 1;
      this.#sockets.add(socket);
      socket.on('close', () => {
        this.closed += 1;
        this.#sockets.delete(socket);
      });
      socket.on('error', () => socket.destroy());
      this.#readHeads(socket);
    });
  }

  /** `ip:port` of the worker. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Starts to listen on a free port. */
  listen(): Promise<void> {
    return new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  /** Closes the worker and all its connections. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #readHeads(socket: Socket): void {
    let text = '';
    socket.on('data', (piece: Buffer) => {
      text += piece.toString('latin1');
      for (let end = text.indexOf(HEAD_END); end >= 0; end = text.indexOf(HEAD_END)) {
        const head = text.slice(0, end);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (text.length < end + HEAD_END.length + length) return;
        text = text.slice(end + HEAD_END.length + length);
        this.heads.push(head);
        this.script(socket, head);
      }
    });
  }
}

/**
 * Reads a header of a request's head.
 *
 * @param head - the head as it was received
 * @param name - the header
 * @returns its value, empty where it is missing
 */
export const readHeader = (head: string, name: string): string =>
  new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1] ?? '';

/**
 * Formats a whole answer that names its request and bears a seal.
 *
 * @param head - the request's head
 * @param body - the answer's body
 * @param status - its status line without the protocol
 * @returns the bytes to write
 */
export const formatAnswer = (head: string, body: string, status = '200 OK'): string =>
  `HTTP/1.1 ${status}\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n` +
  `content-length: ${body.length}\r\n\r\n${body}`;

/**
 * Formats the head of a stream and its first events.
 *
 * @param head - the request's head
 * @param events - the events' texts; ids count from the one after Last-Event-Id
 * @returns the bytes to write, without the stream's end
 */
export const formatStream = (head: string, events: readonly string[]): string => {
  const first = Number(readHeader(head, 'last-event-id') || 0) + 1;
  return (
    `HTTP/1.1 200 OK\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n` +
    `content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n` +
    events.map((text, index) => formatEvent(first + index, text)).join('')
  );
};

/** Formats an event as a chunk of a stream. */
export const formatEvent = (id: number, text: string): string => {
  const event = `id: ${id}\ndata: ${text}\n\n`;
  return `${event.length.toString(16)}\r\n${event}\r\n`;
};

/** The end of a chunked stream. */
export const STREAM_END = '0\r\n\r\n';
