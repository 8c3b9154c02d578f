import { fork } from 'node:child_process';
import { connect } from 'node:net';

const QUEUED_CHANNELS = 4;

/** An address that never responds: new channels to it hang. */
export class DarkAddress {
  #child = fork(new URL('./listenDark.js', import.meta.url).pathname);
  #sockets = [];

  /** Takes a port that has just become free. */
  async take(host, port) {
    const child = this.#child;
    const listening = new Promise((resolve) => child.once('message', resolve));
    child.send({ host, port });
    await listening;
    child.kill('SIGSTOP');
    for (let index = 0; index < QUEUED_CHANNELS; index += 1) {
      const socket = connect(port, host);
      socket.on('error', () => undefined);
      this.#sockets.push(socket);
    }
  }

  close() {
    this.#child.kill('SIGKILL');
    for (const socket of this.#sockets) socket.destroy();
  }
}
