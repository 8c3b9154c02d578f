import { toBranded } from '@sardinegrade/common';
import { parseLeaving, parseLimit, parseRetryAfter } from '@sardinegrade/routing';

import type { PromptPart } from '@sardinegrade/routing';
import type { IncomingHttpHeaders } from 'node:http';
import type { ForwardProtocol, RawHeaders } from '../types.js';

/** Size of each prompt part, in tokens. */
const PART_TOKENS = 100;

const getText = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
};

const NOT_RELAYED = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'deadline-ms',
  'last-event-id',
]);

const filterHeaders = (headers: RawHeaders): string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (!NOT_RELAYED.has(name.toLowerCase())) kept.push(name, headers[index + 1] ?? '');
  }
  return kept;
};

const toNumber = (text: string | undefined): number | undefined =>
  text === undefined ? undefined : Number(text);

/** Decodes the ids of prompt parts, separated by commas. */
const decodeParts = (text = ''): readonly PromptPart[] =>
  text
    .split(',')
    .filter((id) => id !== '')
    .map((id) => ({ id: toBranded(id), tokens: PART_TOKENS }));

/** A protocol with short header names, so that tests do not depend on the platform. */
export const TEST_PROTOCOL: ForwardProtocol = {
  decodeRequest: (headers) => {
    const requestId = getText(headers, 'request-id');
    const lastEventId = getText(headers, 'last-event-id');
    const resumedRequestId = getText(headers, 'resumes');
    const tokens = toNumber(getText(headers, 'tokens'));
    return {
      requestId: requestId === undefined ? undefined : toBranded(requestId),
      deadlineMs: toNumber(getText(headers, 'deadline-ms')),
      key: getText(headers, 'key'),
      lastEventId: lastEventId === undefined ? undefined : toBranded(lastEventId),
      resumedRequestId: resumedRequestId === undefined ? undefined : toBranded(resumedRequestId),
      prompt:
        tokens === undefined
          ? undefined
          : {
              parts: decodeParts(getText(headers, 'parts')),
              promptTokens: tokens,
              maxOutputTokens: 10,
            },
    };
  },
  encodeSend: (headers, metadata) => [
    ...filterHeaders(headers),
    'deadline-ms',
    String(metadata.remainingMs),
    'worker',
    metadata.worker,
    ...(metadata.workspace === undefined ? [] : ['workspace', metadata.workspace]),
    ...(metadata.lastEventId === undefined ? [] : ['last-event-id', metadata.lastEventId]),
  ],
  decodeAnswer: (headers) => {
    const names = headers.map((text) => text.toLowerCase());
    const find = (name: string): string | undefined => {
      const index = names.indexOf(name);
      return index < 0 ? undefined : headers[index + 1];
    };
    const list = (name: string): readonly string[] =>
      headers.filter((_, index) => index % 2 === 1 && names[index - 1] === name);
    return {
      requestId: find('request-id'),
      isNotRun: find('not-run') !== undefined,
      isSealed: find('seal') !== undefined,
      isEncoded: find('content-encoding') !== undefined,
      limit: parseLimit(list('limit')),
      leaving: parseLeaving(list('leaving')),
      retryAfter: parseRetryAfter(list('retry-after')),
      brittleness: parseLimit(list('brittle')),
    };
  },
  encodeAnswer: filterHeaders,
  processReport: {
    path: '/report',
    decodeStartedAtMs: (body) => (/^\d+$/.test(body) ? Number(body) : undefined),
  },
};
