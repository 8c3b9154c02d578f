import type { ServerResponse } from 'node:http';

/** Dependencies of the paths that require no key. */
export interface UnauthenticatedPathOptions {
  readonly isReady: () => boolean;
}

type UnauthenticatedPathHandler = (
  response: ServerResponse,
  options: UnauthenticatedPathOptions,
) => void;

const sendText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' });
  response.end(text);
};

const UNAUTHENTICATED_PATHS: ReadonlyMap<string, UnauthenticatedPathHandler> = new Map([
  ['/livez', (response) => sendText(response, 200, 'ok\n')],
  [
    '/readyz',
    (response, { isReady }) =>
      isReady() ? sendText(response, 200, 'ok\n') : sendText(response, 503, 'not ready\n'),
  ],
] satisfies readonly (readonly [string, UnauthenticatedPathHandler])[]);

/**
 * Creates the function that serves the paths that require no key.
 *
 * @param options - readiness of the daemon
 * @returns a function that serves a path and returns true, or returns false if the path requires a key
 */
export const createUnauthenticatedPathServer =
  (options: UnauthenticatedPathOptions) =>
  (path: string, response: ServerResponse): boolean => {
    const handler = UNAUTHENTICATED_PATHS.get(path);
    handler?.(response, options);
    return handler !== undefined;
  };
