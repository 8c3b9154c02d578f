import { Agent, request as sendHttp } from 'node:http';

/** Sends one client attempt and resolves with what the client gets; status 0 stands for a channel that ends without an answer. */
export const sendAttempt = ({ front, agent, method = 'GET', path, host, headers, body, limitMs }) =>
  new Promise((resolve) => {
    const request = sendHttp({
      ...front,
      agent,
      method,
      path,
      headers: { host, 'X-Deadline-Ms': String(Math.floor(limitMs)), ...headers },
    });
    const timer = setTimeout(() => request.destroy(new Error('time limit')), limitMs);
    const settle = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => settle({ status: 0, body: '', headers: {} }));
      response.on('end', () =>
        settle({
          status: response.statusCode,
          body: Buffer.concat(chunks).toString('latin1'),
          headers: response.headers,
        }),
      );
    });
    request.on('error', () => settle({ status: 0, body: '', headers: {} }));
    request.end(body);
  });

/** Creates the kept channels of one client to one daemon. */
export const createChannels = () => new Agent({ keepAlive: true, maxSockets: 64 });
