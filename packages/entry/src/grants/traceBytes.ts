import type { TraceContext } from '@sardinegrade/common';

const TRACE_ID_BYTES = 16;
const SPAN_ID_BYTES = 8;

/**
 * Encodes the trace context of the span that waits for a grant.
 *
 * @param trace - the trace context, if any
 * @returns trace id and span id; empty if the trace is not sampled
 */
export const encodeTrace = (trace: TraceContext | undefined): Buffer =>
  trace?.isSampled === true
    ? Buffer.from(`${trace.traceId}${trace.spanId}`, 'hex')
    : Buffer.alloc(0);

/**
 * Decodes the trace context of the span that waits for a grant.
 *
 * @param bytes - output of `encodeTrace`
 * @returns the trace context; undefined if the bytes are empty or have the wrong length
 */
export const decodeTrace = (bytes: Buffer): TraceContext | undefined => {
  if (bytes.length !== TRACE_ID_BYTES + SPAN_ID_BYTES) return undefined;
  return {
    traceId: bytes.toString('hex', 0, TRACE_ID_BYTES),
    spanId: bytes.toString('hex', TRACE_ID_BYTES),
    isSampled: true,
  };
};
