import { createServer } from 'node:net';

// Takes the port of a machine that has lost power. The parent stops this process and fills the queue of new channels,
// so that further ones hang, as they do to a machine without power.
process.on('message', ({ host, port }) => {
  createServer().listen({ host, port, backlog: 1 }, () => process.send('listening'));
});
process.once('disconnect', () => process.exit(0));
