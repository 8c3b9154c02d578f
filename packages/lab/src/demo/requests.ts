import { request } from 'undici';

import { SAMPLE_KEYS } from './sample.js';

import type { DemoSystem } from './DemoSystem.js';

/** Result of one request of the demonstration. */
export interface DemoResult {
  readonly name: string;
  readonly status: number;
  /** Result code; 0 if the request succeeded. */
  readonly code: number;
  readonly requestId: string;
  readonly tokens: number;
  /** Whether the answer is complete. */
  readonly isComplete: boolean;
  readonly text: string;
}

interface ChatSample {
  readonly name: string;
  readonly vm: number;
  readonly key: string;
  readonly className: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

const CLOSING_MARKER = 'data: [DONE]';

const readCode = (body: string): number => {
  try {
    const value = JSON.parse(body) as { code?: number; error?: { code?: number } };
    return value.error?.code ?? value.code ?? 0;
  } catch {
    return 0;
  }
};

const readChunks = (body: string): readonly string[] =>
  body
    .split('\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice('data: '.length)) as ChatChunk)
    .map(({ choices }) => choices[0]?.delta?.content ?? '')
    .filter((text) => text !== '');

interface ChatChunk {
  readonly choices: readonly { readonly delta?: { readonly content?: string } }[];
}

const sendChat = async (system: DemoSystem, sample: ChatSample): Promise<DemoResult> => {
  const response = await request(`${system.getCallersAddress(sample.vm)}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${sample.key}`,
      'content-type': 'application/json',
      'sardinegrade-class': sample.className,
    },
    body: JSON.stringify({
      model: 'drill-7b',
      stream: true,
      max_tokens: sample.maxTokens,
      messages: [{ role: 'user', content: sample.prompt }],
    }),
  });
  const body = await response.body.text();
  const chunks = readChunks(body);
  return {
    name: sample.name,
    status: response.statusCode,
    code: readCode(body),
    requestId: String(response.headers['x-request-id']),
    tokens: chunks.length,
    isComplete: body.includes(CLOSING_MARKER),
    text: chunks.join(''),
  };
};

const sendBooking = async (system: DemoSystem, name: string, vm: number): Promise<DemoResult> => {
  const response = await request(`${system.getCallersAddress(vm)}/services/booking/bits`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${SAMPLE_KEYS.counter}`,
      'content-type': 'application/json',
      'idempotency-key': 'bit-4711',
    },
    body: JSON.stringify({ bit: 4711, queue: 'grinding' }),
  });
  const text = await response.body.text();
  const isComplete = response.statusCode < 300;
  return {
    name,
    status: response.statusCode,
    code: isComplete ? 0 : readCode(text),
    requestId: String(response.headers['x-request-id']),
    tokens: 0,
    isComplete,
    text,
  };
};

/**
 * Sends the requests of the demonstration: a paying counter query, a free history reconciliation, and the same
 * booking through each of the two VMs.
 *
 * @param system - the running system
 * @returns the results, in the order listed above
 */
export const sendDemoRequests = async (system: DemoSystem): Promise<readonly DemoResult[]> => {
  const chats = await Promise.all([
    sendChat(system, {
      name: 'paying counter query',
      vm: 0,
      key: SAMPLE_KEYS.counter,
      className: 'query',
      prompt: 'Is bit 4711 back from grinding?',
      maxTokens: 24,
    }),
    sendChat(system, {
      name: 'free history reconciliation',
      vm: 1,
      key: SAMPLE_KEYS.history,
      className: 'reconciliation',
      prompt: 'Reconcile the job histories of the workshops at Rosebery and Zeehan.',
      maxTokens: 60,
    }),
  ]);
  const first = await sendBooking(system, 'booking', 0);
  const second = await sendBooking(system, 'the same booking again', 1);
  return [...chats, first, second];
};
