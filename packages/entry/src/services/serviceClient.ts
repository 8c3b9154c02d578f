import { ByteCollector, MAX_ANSWER_BYTES } from '@sardinegrade/ingress';
import { CallOutcome, LookupOutcome } from '@sardinegrade/orders';
import { z } from 'zod';

import {
  ANSWER_HEADERS,
  ATTEMPT_ID_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  STATUS_LOOKUP_TIMEOUT_MS,
  REQUEST_ID_HEADER,
} from './constants.js';
import { pickHeaders } from './pickHeaders.js';
import { createSingleUseClient, hasFailedBeforeSend } from './singleUseClient.js';

import type { ServiceConfiguration, UpstreamConfiguration, UpstreamId } from '@sardinegrade/common';
import type { HeldBytes } from '@sardinegrade/ingress';
import type { CallResult, LookupResult, ServiceCall, ServiceClient } from '@sardinegrade/orders';
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { FindUpstreams } from './types.js';

const lookupSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('absent') }),
  z.object({
    state: z.literal('done'),
    status: z.number().int(),
    content_type: z.string().optional(),
    body: z.string(),
  }),
]);

/** A complete body, or undefined with the number of bytes read if it exceeds a limit. */
interface CollectedBody {
  readonly bytes: number;
  readonly body: Buffer | undefined;
}

/** Collects a body, which gives way if the answers of all calls need too much memory. */
const collectBody = async (stream: Readable, held: HeldBytes): Promise<CollectedBody> => {
  const collector = new ByteCollector();
  const cancellation = new AbortController();
  const cancel = (): void => {
    cancellation.abort();
    stream.destroy();
  };
  try {
    for await (const chunk of stream as AsyncIterable<Buffer>) {
      if (collector.bytes + chunk.length > MAX_ANSWER_BYTES)
        return { bytes: collector.bytes + chunk.length, body: undefined };
      held.add(cancel, collector.add(chunk));
    }
  } catch (error) {
    if (!cancellation.signal.aborted) throw error;
  } finally {
    held.remove(cancel);
  }
  const { bytes } = collector;
  return {
    bytes,
    body: cancellation.signal.aborted ? undefined : Buffer.concat(collector.takePieces(), bytes),
  };
};

const getHeader = (response: Dispatcher.ResponseData, name: string): string | undefined => {
  const value = response.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const buildHeaders = (call: ServiceCall): Record<string, string> => ({
  ...call.request.headers,
  [ATTEMPT_ID_HEADER]: call.attemptId,
  [REQUEST_ID_HEADER]: call.requestId,
  traceparent: call.traceparent,
  ...(call.scopedKey === '' ? {} : { [IDEMPOTENCY_KEY_HEADER]: call.scopedKey }),
});

const readAnswer = async (
  call: ServiceCall,
  response: Dispatcher.ResponseData,
  held: HeldBytes,
): Promise<CallResult> => {
  // An answer without the id of this attempt belongs to another request or was sent by an intermediary.
  if (getHeader(response, ATTEMPT_ID_HEADER) !== call.attemptId) {
    return { outcome: CallOutcome.Unknown, cause: 'the answer is not for this attempt' };
  }
  const { bytes, body } = await collectBody(response.body, held);
  const status = response.statusCode;
  if (body === undefined) return { outcome: CallOutcome.TooLarge, status, bytes };
  const headers = pickHeaders(response.headers, ANSWER_HEADERS);
  return { outcome: CallOutcome.Answered, answer: { status, headers, body } };
};

const callUpstream = async (
  upstream: UpstreamConfiguration,
  call: ServiceCall,
  held: HeldBytes,
): Promise<CallResult> => {
  const client = createSingleUseClient(upstream.address, call.canStart);
  try {
    const response = await client.request({
      method: call.request.method,
      path: call.request.path,
      headers: buildHeaders(call),
      body: call.request.body.length === 0 ? null : call.request.body,
      signal: AbortSignal.timeout(call.timeoutMs),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return await readAnswer(call, response, held);
  } catch (cause) {
    const outcome = hasFailedBeforeSend(cause) ? CallOutcome.NotStarted : CallOutcome.Unknown;
    return { outcome, cause };
  } finally {
    await client.destroy().catch(() => undefined);
  }
};

const lookupUpstream = async (
  upstream: UpstreamConfiguration,
  path: string,
  held: HeldBytes,
): Promise<LookupResult> => {
  const client = createSingleUseClient(upstream.address, () => true);
  try {
    const signal = AbortSignal.timeout(STATUS_LOOKUP_TIMEOUT_MS);
    const response = await client.request({ method: 'GET', path, signal });
    const { body } = await collectBody(response.body, held);
    if (response.statusCode !== 200 || body === undefined) {
      return { outcome: LookupOutcome.Unavailable };
    }
    const found = lookupSchema.parse(JSON.parse(body.toString('utf8')));
    if (found.state === 'absent') return { outcome: LookupOutcome.Absent };
    const { status, content_type: contentType } = found;
    const headers = contentType === undefined ? {} : { 'content-type': contentType };
    const answer = { status, headers, body: Buffer.from(found.body) };
    return { outcome: LookupOutcome.Done, answer };
  } catch {
    return { outcome: LookupOutcome.Unavailable };
  } finally {
    await client.destroy().catch(() => undefined);
  }
};

/**
 * Creates the client for calls to plain services.
 *
 * @param findUpstreams - finds the upstreams of a service that accept calls
 * @param held - limits the answers that are not whole
 * @returns a client that prefers the upstream with the fewest running calls of this daemon per slot
 */
export const createServiceClient = (
  findUpstreams: FindUpstreams,
  held: HeldBytes,
): ServiceClient => {
  const runningCalls = new Map<UpstreamId, number>();

  const getLoad = ({ id, slots }: UpstreamConfiguration): number =>
    (runningCalls.get(id) ?? 0) / Math.max(1, slots);

  const sortUpstreams = (service: ServiceConfiguration): readonly UpstreamConfiguration[] =>
    [...findUpstreams(service)].sort((left, right) => getLoad(left) - getLoad(right));

  const runCall = async (upstream: UpstreamConfiguration, call: ServiceCall) => {
    runningCalls.set(upstream.id, (runningCalls.get(upstream.id) ?? 0) + 1);
    try {
      return await callUpstream(upstream, call, held);
    } finally {
      runningCalls.set(upstream.id, (runningCalls.get(upstream.id) ?? 1) - 1);
    }
  };

  const callService = async (call: ServiceCall): Promise<CallResult> => {
    let result: CallResult = {
      outcome: CallOutcome.NotStarted,
      cause: 'no upstream may be given work',
    };
    for (const upstream of sortUpstreams(call.service)) {
      result = await runCall(upstream, call);
      if (result.outcome !== CallOutcome.NotStarted) return result;
    }
    return result;
  };

  const lookupStatus = async (
    service: ServiceConfiguration,
    scopedKey: string,
  ): Promise<LookupResult> => {
    const path = service.statusLookupPath?.replaceAll('{key}', encodeURIComponent(scopedKey));
    if (path === undefined) return { outcome: LookupOutcome.Unavailable };
    for (const upstream of sortUpstreams(service)) {
      const result = await lookupUpstream(upstream, path, held);
      if (result.outcome !== LookupOutcome.Unavailable) return result;
    }
    return { outcome: LookupOutcome.Unavailable };
  };

  return { callService, lookupStatus };
};
