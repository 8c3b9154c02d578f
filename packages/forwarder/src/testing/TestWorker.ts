import { createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** Called by a worker for each received request, with the request's head. */
export type WorkerScript = (socket: Socket, head: string) => void;

const HEAD_END = '\r\n\r\n';

/** Start of the head of a request for a report. */
const REPORT_START = 'GET /report ';

/** A worker whose answers are written to the socket by a script. */
export class TestWorker {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Heads of the received requests, in order. */
  readonly heads: string[] = [];
  /** Number of accepted connections. */
  connections = 0;
  /** Number of closed connections. */
  closed = 0;
  /** Whether the script answers requests for reports, too; otherwise there are none. */
  hasScriptedReports = false;
  /** Called with each new connection instead of reading requests from it, if set. */
  rawScript: ((socket: Socket) => void) | undefined;

  /** @param script - called for each request */
  constructor(public script: WorkerScript) {
    this.#server = createServer((socket) => {
      this.connections += 1;
      this.#sockets.add(socket);
      socket.on('close', () => {
        this.closed += 1;
        this.#sockets.delete(socket);
      });
      socket.on('error', () => socket.destroy());
      if (this.rawScript === undefined) this.#readHeads(socket);
      else this.rawScript(socket);
    });
  }

  /** `ip:port` of the worker. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Starts listening on a free port. */
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
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
      for (let end = text.indexOf(HEAD_END); end >= 0; end = text.indexOf(HEAD_END)) {
        const head = text.slice(0, end);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (text.length < end + HEAD_END.length + length) return;
        text = text.slice(end + HEAD_END.length + length);
        if (head.startsWith(REPORT_START) && !this.hasScriptedReports) {
          socket.write('HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n');
          continue;
        }
        this.heads.push(head);
        this.script(socket, head);
      }
    });
  }
}

/**
 * Reads a header from the head of a request.
 *
 * @param head - the received head
 * @param name - name of the header; case is ignored
 * @returns the value, or an empty string if the header is missing
 */
export const readHeader = (head: string, name: string): string =>
  new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1] ?? '';

/**
 * Formats a complete answer with the id of its request and a seal.
 *
 * @param head - head of the request
 * @param body - body of the answer
 * @param status - status code and reason phrase
 * @returns the bytes to write
 */
export const formatAnswer = (head: string, body: string, status = '200 OK'): string =>
  `HTTP/1.1 ${status}\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n` +
  `content-length: ${body.length}\r\n\r\n${body}`;

/**
 * Formats the head and the first events of a stream.
 *
 * @param head - head of the request
 * @param events - data of the events; their ids start after the request's Last-Event-Id
 * @returns the bytes to write, without the end of the stream
 */
export const formatStream = (head: string, events: readonly string[]): string => {
  const first = Number(readHeader(head, 'last-event-id') || 0) + 1;
  return (
    `HTTP/1.1 200 OK\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n` +
    `content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n` +
    events.map((text, index) => formatEvent(first + index, text)).join('')
  );
};

/** Formats a server-sent event as one HTTP chunk. */
export const formatEvent = (id: number, text: string): string => {
  const event = `id: ${id}\ndata: ${text}\n\n`;
  return `${event.length.toString(16)}\r\n${event}\r\n`;
};

/** The last chunk of a stream. */
export const STREAM_END = '0\r\n\r\n';
