import { SendPurpose } from './sendToWorker.js';

import type { IncomingMessage } from 'node:http';
import type { ForwardProtocol, SendMetadata } from '../types.js';
import type { WorkerRequest } from './sendToWorker.js';
import type { AdmittedRequest } from './types.js';

/**
 * Builds the request for a worker from the caller's.
 *
 * @param protocol - encodes the headers
 * @param request - the caller's request
 * @param admitted - what was read from it
 * @param metadata - metadata of this send
 * @returns the request to send
 */
export const buildWorkerRequest = (
  protocol: ForwardProtocol,
  request: IncomingMessage,
  { caller, holder, body }: AdmittedRequest,
  metadata: Omit<SendMetadata, 'workspace'>,
): WorkerRequest => ({
  purpose: metadata.lastEventId === undefined ? SendPurpose.Run : SendPurpose.Resume,
  method: request.method ?? 'GET',
  path: request.url ?? '/',
  headers: protocol.encodeSend(request.rawHeaders, { ...metadata, workspace: holder?.workspace }),
  body,
  requestId: caller.requestId,
});
