import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * Reads the complete request body.
 *
 * @param request - a request whose body has not been read yet
 * @returns the body, decoded as UTF-8
 */
export const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

/**
 * Reads the request body and parses it as JSON.
 *
 * @param request - a request whose body has not been read yet
 * @returns the parsed value, or undefined if the body is not valid JSON
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
 * Sends a JSON response.
 *
 * @param response - a response whose headers have not been sent yet
 * @param status - HTTP status code
 * @param body - the value to serialize
 * @param headers - additional headers
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
 * Gets the value of a header, the first one if it is repeated.
 *
 * @param request - the request whose headers are read
 * @param name - the header's name in lower case
 * @returns the value, or undefined if the header is absent
 */
export const getHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};
