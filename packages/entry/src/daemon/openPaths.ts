import type { ServerResponse } from 'node:http';

/** What the paths without a key need of the daemon. */
export interface OpenPathOptions {
  readonly isReady: () => boolean;
}

type OpenPathHandler = (response: ServerResponse, options: OpenPathOptions) => void;

const sendText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' });
  response.end(text);
};

const OPEN_PATHS: ReadonlyMap<string, OpenPathHandler> = new Map([
  ['/livez', (response) => sendText(response, 200, 'ok\n')],
  [
    '/readyz',
    (response, { isReady }) =>
      isReady() ? sendText(response, 200, 'ok\n') : sendText(response, 503, 'not ready\n'),
  ],
] satisfies readonly (readonly [string, OpenPathHandler])[]);

/**
 * Builds the server of the paths that need no key.
 *
 * @param options - what they need of the daemon
 * @returns a function that serves a path if it is one of them, and answers whether it did
 */
export const createOpenPaths =
  (options: OpenPathOptions) =>
  (path: string, response: ServerResponse): boolean => {
    const handler = OPEN_PATHS.get(path);
    handler?.(response, options);
    return handler !== undefined;
  };
