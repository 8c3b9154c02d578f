import { setTimeout as sleep } from 'node:timers/promises';

import { z } from 'zod';

import {
  createRouter,
  getHeader,
  readBody,
  readJson,
  sendJson,
  startHttpServer,
} from '../http/index.js';
import { Ledger } from './Ledger.js';
import { CrashPoint } from './types.js';

import type { ServerResponse } from 'node:http';
import type { RoutedCall, StandIn } from '../http/index.js';
import type { StoredAnswer } from './Ledger.js';
import type { ServiceBehaviour, ServiceCounts, ServiceOptions } from './types.js';

/** A plain service stand-in, whose faults a test in the same process can switch. */
export interface ServiceStandIn extends StandIn {
  readonly setBehaviour: (behaviour: Partial<ServiceBehaviour>) => void;
  readonly getCounts: () => ServiceCounts;
}

const FAULTLESS: ServiceBehaviour = {
  waitMs: 0,
  answerDelayMs: 0,
  loseAnswers: 0,
  refuse: 0,
  crash: CrashPoint.Never,
  deduplicates: false,
  hasStatus: true,
};

const PART = z.number().min(0).max(1);

const CONTROL_SCHEMA = z.strictObject({
  wait_ms: z.number().nonnegative().optional(),
  answer_delay_ms: z.number().nonnegative().optional(),
  lose_answers: PART.optional(),
  refuse: PART.optional(),
  crash: z.enum(CrashPoint).optional(),
  deduplicates: z.boolean().optional(),
  has_status: z.boolean().optional(),
});

const toBehaviour = (control: z.output<typeof CONTROL_SCHEMA>): Partial<ServiceBehaviour> => ({
  ...(control.wait_ms !== undefined && { waitMs: control.wait_ms }),
  ...(control.answer_delay_ms !== undefined && { answerDelayMs: control.answer_delay_ms }),
  ...(control.lose_answers !== undefined && { loseAnswers: control.lose_answers }),
  ...(control.refuse !== undefined && { refuse: control.refuse }),
  ...(control.crash !== undefined && { crash: control.crash }),
  ...(control.deduplicates !== undefined && { deduplicates: control.deduplicates }),
  ...(control.has_status !== undefined && { hasStatus: control.has_status }),
});

const sendStored = (response: ServerResponse, answer: StoredAnswer, attemptId: string): void => {
  response.writeHead(answer.status, {
    'content-type': answer.contentType,
    'x-attempt-id': attemptId,
  });
  response.end(answer.body);
};

class Service {
  readonly ledger = new Ledger();
  behaviour: ServiceBehaviour;
  calls = 0;
  refused = 0;
  private readonly random: () => number;
  private readonly crash: () => void;

  constructor(options: ServiceOptions, crash: () => void) {
    this.behaviour = { ...FAULTLESS, ...options.behaviour };
    this.random = options.random ?? Math.random;
    this.crash = crash;
  }

  async handle(call: RoutedCall): Promise<void> {
    this.calls += 1;
    const body = await readBody(call.request);
    const attemptId = getHeader(call.request, 'x-attempt-id') ?? '';
    if (this.random() < this.behaviour.refuse) {
      this.refused += 1;
      sendJson(call.response, 503, { error: 'Not executed.' });
      return;
    }
    if (this.behaviour.waitMs > 0) await sleep(this.behaviour.waitMs);
    if (this.behaviour.crash === CrashPoint.Before) {
      this.crash();
      return;
    }
    const answer = this.execute(call, body);
    if (this.behaviour.crash === CrashPoint.After) {
      this.crash();
      return;
    }
    await this.answer(call.response, answer, attemptId);
  }

  sendStatus({ response, parameters }: RoutedCall): void {
    if (!this.behaviour.hasStatus) {
      sendJson(response, 503, { error: 'No status now.' });
      return;
    }
    const answer = this.ledger.find(parameters[0] ?? '');
    if (answer === undefined) {
      sendJson(response, 200, { state: 'absent' });
      return;
    }
    const { status, contentType, body } = answer;
    sendJson(response, 200, { state: 'done', status, content_type: contentType, body });
  }

  private execute(call: RoutedCall, body: string): StoredAnswer {
    const key = getHeader(call.request, 'idempotency-key');
    const known = key === undefined ? undefined : this.ledger.find(key);
    if (known !== undefined && this.behaviour.deduplicates) return known;
    const result = {
      method: call.request.method,
      path: call.url.pathname,
      key: key ?? null,
      execution: this.ledger.executions + 1,
      echo: body,
    };
    const answer: StoredAnswer = {
      status: 200,
      contentType: 'application/json',
      body: JSON.stringify(result),
    };
    this.ledger.execute(key, answer);
    return answer;
  }

  private async answer(
    response: ServerResponse,
    answer: StoredAnswer,
    attemptId: string,
  ): Promise<void> {
    const isLost = this.random() < this.behaviour.loseAnswers;
    if (this.behaviour.answerDelayMs > 0) await sleep(this.behaviour.answerDelayMs);
    if (isLost) response.destroy();
    else sendStored(response, answer, attemptId);
  }
}

/**
 * Starts a stand-in of a plain service, as docs/UPSTREAMS.md describes it.
 *
 * @param options - where to listen, and the behaviour to begin with
 * @returns the stand-in once it listens
 */
export const startService = async (options: ServiceOptions = {}): Promise<ServiceStandIn> => {
  const service = new Service(options, () => {
    if (options.onCrash !== undefined) options.onCrash();
    else void server.stop();
  });
  const setBehaviour = (behaviour: Partial<ServiceBehaviour>): void => {
    service.behaviour = { ...service.behaviour, ...behaviour };
  };
  const getCounts = (): ServiceCounts => ({
    calls: service.calls,
    executions: service.ledger.executions,
    refused: service.refused,
    byKey: service.ledger.describe(),
  });
  const handleControl = async ({ request, response }: RoutedCall): Promise<void> => {
    const control = CONTROL_SCHEMA.safeParse(await readJson(request));
    if (control.success) setBehaviour(toBehaviour(control.data));
    sendJson(response, control.success ? 200 : 400, { error: control.error?.message ?? null });
  };
  const routes = createRouter([
    {
      method: 'GET',
      pattern: /^\/control$/,
      handle: ({ response }) => sendJson(response, 200, getCounts()),
    },
    { method: 'POST', pattern: /^\/control$/, handle: handleControl },
    {
      method: 'GET',
      pattern: /^\/healthz$/,
      handle: ({ response }) => sendJson(response, 200, { status: 'ok' }),
    },
    {
      method: 'GET',
      pattern: /^\/status\/([^/]+)$/,
      handle: (call) => service.sendStatus(call),
    },
    ...['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'].map((method) => ({
      method,
      pattern: /^/,
      handle: (call: RoutedCall) => service.handle(call),
    })),
  ]);
  const server = await startHttpServer(options.listen ?? '127.0.0.1:0', routes);
  return { address: server.address, stop: server.stop, setBehaviour, getCounts };
};
