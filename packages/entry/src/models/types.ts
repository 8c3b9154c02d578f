import type { ClassConfiguration, ServiceConfiguration } from '@sardinegrade/common';

/** A validated completion request. */
export interface ChatRequest {
  readonly model: string;
  readonly isStreamed: boolean;
  readonly includesUsage: boolean;
  readonly maxTokens: number;
  /** Text of all messages, for prefix affinity and the estimated number of tokens. */
  readonly prompt: string;
  /** The body that is sent to the engine; it always requests a stream. */
  readonly engineBody: string;
}

/** Service and class of a request. */
export interface ChatTarget {
  readonly service: ServiceConfiguration;
  readonly serviceClass: ClassConfiguration;
}

/** Token counts of an answer, as in OpenAI's `usage` object. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}
