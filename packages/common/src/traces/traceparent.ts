import { parseTraceParent } from '@opentelemetry/core';

import type { TraceContext } from './types.js';

const SAMPLED_FLAG = 1;
const INVALID_TRACE_ID = '0'.repeat(32);
const INVALID_SPAN_ID = '0'.repeat(16);

/**
 * Parses a W3C `traceparent` header.
 *
 * @param header - value of the header; undefined if the request has none
 * @returns the caller's span, or undefined if the header is missing or malformed
 */
export const parseTraceparent = (header: string | undefined): TraceContext | undefined => {
  if (header === undefined) return undefined;
  const parent = parseTraceParent(header);
  if (parent === null) return undefined;
  if (parent.traceId === INVALID_TRACE_ID || parent.spanId === INVALID_SPAN_ID) return undefined;
  return {
    traceId: parent.traceId,
    spanId: parent.spanId,
    isSampled: (parent.traceFlags & SAMPLED_FLAG) !== 0,
  };
};

/**
 * Formats a W3C `traceparent` header.
 *
 * @param context - parent of the spans that the receiver starts
 * @returns the value of the header
 */
export const formatTraceparent = (context: TraceContext): string =>
  `00-${context.traceId}-${context.spanId}-${context.isSampled ? '01' : '00'}`;
