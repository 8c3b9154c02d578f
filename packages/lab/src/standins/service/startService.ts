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
import { ExecutionLog } from './ExecutionLog.js';
import { CrashPoint } from './types.js';

import type { ServerResponse } from 'node:http';
import type { RoutedCall, StandIn } from '../http/index.js';
import type { StoredAnswer } from './ExecutionLog.js';
import type { ServiceBehaviour, ServiceCounts, ServiceOptions } from './types.js';

/** A plain service stand-in. Tests in the same process set its faults through `setBehaviour`. */
export interface ServiceStandIn extends StandIn {
  readonly setBehaviour: (behaviour: Partial<ServiceBehaviour>) => void;
  readonly getCounts: () => ServiceCounts;
}

const NO_FAULTS: ServiceBehaviour = {
  waitMs: 0,
  answerDelayMs: 0,
  loseAnswers: 0,
  refuse: 0,
  crash: CrashPoint.Never,
  deduplicates: false,
  hasStatus: true,
};

const FRACTION = z.number().min(0).max(1);

const CONTROL_SCHEMA = z.strictObject({
  wait_ms: z.number().nonnegative().optional(),
  answer_delay_ms: z.number().nonnegative().optional(),
  lose_answers: FRACTION.optional(),
  refuse: FRACTION.optional(),
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

const sendStoredAnswer = (
  response: ServerResponse,
  answer: StoredAnswer,
  attemptId: string,
): void => {
  response.writeHead(answer.status, {
    'content-type': answer.contentType,
    'x-attempt-id': attemptId,
  });
  response.end(answer.body);
};

class Service {
  readonly executionLog = new ExecutionLog();
  behaviour: ServiceBehaviour;
  calls = 0;
  refused = 0;
  private readonly random: () => number;
  private readonly crash: () => void;

  constructor(options: ServiceOptions, crash: () => void) {
    this.behaviour = { ...NO_FAULTS, ...options.behaviour };
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
    await this.sendAnswer(call.response, answer, attemptId);
  }

  sendStatus({ response, parameters }: RoutedCall): void {
    if (!this.behaviour.hasStatus) {
      sendJson(response, 503, { error: 'No status now.' });
      return;
    }
    const answer = this.executionLog.find(parameters[0] ?? '');
    if (answer === undefined) {
      sendJson(response, 200, { state: 'absent' });
      return;
    }
    const { status, contentType, body } = answer;
    sendJson(response, 200, { state: 'done', status, content_type: contentType, body });
  }

  private execute(call: RoutedCall, body: string): StoredAnswer {
    const key = getHeader(call.request, 'idempotency-key');
    const previous = key === undefined ? undefined : this.executionLog.find(key);
    if (previous !== undefined && this.behaviour.deduplicates) return previous;
    const result = {
      method: call.request.method,
      path: call.url.pathname,
      key: key ?? null,
      execution: this.executionLog.executions + 1,
      echo: body,
    };
    const answer: StoredAnswer = {
      status: 200,
      contentType: 'application/json',
      body: JSON.stringify(result),
    };
    this.executionLog.record(key, answer);
    return answer;
  }

  private async sendAnswer(
    response: ServerResponse,
    answer: StoredAnswer,
    attemptId: string,
  ): Promise<void> {
    const isLost = this.random() < this.behaviour.loseAnswers;
    if (this.behaviour.answerDelayMs > 0) await sleep(this.behaviour.answerDelayMs);
    if (isLost) response.destroy();
    else sendStoredAnswer(response, answer, attemptId);
  }
}

/**
 * Starts a stand-in for a plain service, whose protocol is described in docs/UPSTREAMS.md.
 *
 * @param options - listen address and initial behaviour
 * @returns the stand-in, once it is listening
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
    executions: service.executionLog.executions,
    refused: service.refused,
    byKey: service.executionLog.getCountsByKey(),
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
