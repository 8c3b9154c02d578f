import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * Reads a whole body.
 *
 * @param request - the request
 * @returns its body as text
 */
export const readBody = async (request: IncomingMessage): Promise<string> => {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts).toString('utf8');
};

/**
 * Reads a body as JSON.
 *
 * @param request - the request
 * @returns the value, or undefined where the body is not JSON
 */
export const readJson = async (request: IncomingMessage): Promise<unknown> => {
  const text = await readBody(request);
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/**
 * Answers with JSON.
 *
 * @param response - the response, not begun yet
 * @param status - HTTP status
 * @param body - the value to send
 * @param headers - further headers
 */
export const sendJson = (
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
};

/**
 * Reads a header that is sent at most once.
 *
 * @param request - the request
 * @param name - the header's name in lower case
 * @returns its value, or undefined where it is absent
 */
export const getHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};
