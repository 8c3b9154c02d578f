import type { ClassConfiguration, ServiceConfiguration } from '@sardinegrade/common';

/** A caller's request for a completion, checked. */
export interface ChatRequest {
  readonly model: string;
  readonly isStreamed: boolean;
  readonly includesUsage: boolean;
  readonly maxTokens: number;
  /** All text of the prompt, for prefix affinity and estimates. */
  readonly prompt: string;
  /** The body for the engine, which always asks for a stream. */
  readonly engineBody: string;
}

/** The service and class that a request runs under. */
export interface ChatTarget {
  readonly service: ServiceConfiguration;
  readonly serviceClass: ClassConfiguration;
}

/** Token counts of an answer, in OpenAI's words. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}
