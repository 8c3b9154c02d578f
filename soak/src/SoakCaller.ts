import { Agent, request as sendHttp } from 'node:http';

import { RequestKind } from './SoakLedger.js';
import { DEADLINES_MS } from './timeLimits.js';

import type { RandomSource } from '@sardinegrade/dispatch';
import type { AnswerRecord, SoakLedger, StreamPart } from './SoakLedger.js';
import type { SoakVm } from './SoakVm.js';

const KINDS = Object.values(RequestKind);

/** Pause between an answer and the next request of a caller, in milliseconds. */
const PAUSE_MS = 40;

/** Share of requests whose caller disconnects before the answer, and after how long, in milliseconds. */
const DISCONNECT_SHARE = 0.05;
const DISCONNECT_AFTER_MS = 60;

/**
 * Share of requests with a key that only two configuration versions contain, and the number of
 * newest versions that the key is picked from.
 */
const VERSIONED_SHARE = 0.3;
const KEY_VERSION_CHOICES = 4;

/** Numbers of different prompt parts, and share of prompts with the part that crashes workers while there is one. */
const FIRST_PARTS = 3;
const SESSIONS = 20;
const POISONED_SHARE = 0.15;

/**
 * Stable window, in milliseconds. Whether a planned shutdown cut a connection is checked only for
 * requests sent more than this time after the last disturbance of their VM.
 */
const STABLE_MS = 3_000;

/**
 * Formats the API key that a configuration version introduces.
 *
 * @param version - the configuration version; 0 for the key that all versions contain
 * @returns the API key
 */
export const formatKey = (version: number): string => (version === 0 ? 'k' : `k${version}`);

const buildResumeHeaders = ({ id, body }: StreamPart): Readonly<Record<string, string>> => ({
  Resumes: id,
  'Last-Event-Id': [...body.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? '',
});

/** Options of a caller. */
export interface SoakCallerOptions {
  readonly name: string;
  /** Position among the callers. */
  readonly index: number;
  readonly vms: readonly SoakVm[];
  readonly ledger: SoakLedger;
  readonly random: RandomSource;
  /** Returns the newest version of the configuration. */
  readonly getVersion: () => number;
  /** Returns the prompt part that crashes workers at present; undefined if there is none. */
  readonly getPoisonedPart: () => string | undefined;
  /** Whether workers, links and the store have been free of faults for the stable window. */
  readonly isStable: () => boolean;
  /** Whether the store has been free of faults for the stable window. */
  readonly isStoreStable: () => boolean;
  /** Whether a VM that reaches the workers has been free of faults for the stable window. */
  readonly hasReferenceVm: () => boolean;
}

/**
 * A caller that sends requests one after another over a keep-alive connection. After a request
 * without an answer, it connects to a random VM.
 */
export class SoakCaller {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #vm: SoakVm;
  #sent = 0;
  readonly #deadlineMs: number;
  #isStopped = false;
  /** Stream that broke off, which the next request resumes. */
  #toResume: StreamPart | undefined;

  /** @param options - name, VMs, ledger and random source */
  constructor(private readonly options: SoakCallerOptions) {
    this.#deadlineMs = DEADLINES_MS[options.index % DEADLINES_MS.length] ?? 0;
    this.#vm = this.#pickVm();
  }

  /** Sends requests until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#sendOne();
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    }
    this.#agent.destroy();
  }

  /** Stops after the current request. */
  stop(): void {
    this.#isStopped = true;
  }

  #pickVm(): SoakVm {
    const { vms, random } = this.options;
    const vm = vms[Math.floor(random() * vms.length)];
    if (vm === undefined) throw new Error('The soak caller has no VM to send requests to.');
    return vm;
  }

  async #sendOne(): Promise<void> {
    const deadlineMs = this.#deadlineMs;
    const { name, random, ledger, isStable, isStoreStable, hasReferenceVm } = this.options;
    this.#sent += 1;
    const id = `${name}-${this.#sent}`;
    const earlier = this.#toResume;
    this.#toResume = undefined;
    const drawn = KINDS[Math.floor(random() * KINDS.length)] ?? RequestKind.Safe;
    const kind = earlier === undefined ? drawn : RequestKind.Resumable;
    const vm = this.#vm;
    const shouldDisconnect = random() < DISCONNECT_SHARE;
    const sentAtMs = performance.now();
    const keyVersion = this.#pickKeyVersion();
    const { startCount: vmStartCount } = vm;
    const wasStable = isStable();
    const wasUndisturbed = vm.isUndisturbed(sentAtMs, STABLE_MS);
    const isInTouch = sentAtMs - vm.disturbedAtMs > STABLE_MS && isStoreStable();
    const hadReferenceVm = hasReferenceVm();
    const result = await this.#call(id, kind, formatKey(keyVersion), shouldDisconnect, earlier);
    const isTerminated = vm.terminatedAtMs !== undefined;
    const isUndisturbed = sentAtMs - vm.disturbedAtMs > STABLE_MS && wasStable && isStable();
    if (!shouldDisconnect) {
      ledger.recordAnswer({
        id,
        kind,
        vm: vm.options.name,
        vmStartCount,
        keyVersion,
        sentAtMs,
        endedAtMs: performance.now(),
        deadlineMs,
        isInTouch,
        wasStable: wasStable && isStable(),
        isVmUndisturbed: wasUndisturbed && vm.isUndisturbed(sentAtMs, STABLE_MS),
        hasReferenceVm: hadReferenceVm && hasReferenceVm(),
        isPlannedShutdown: isTerminated && isUndisturbed,
        earlier,
        ...result,
      });
    }
    this.#resumeNext(id, kind, earlier, result);
    if (result.status === 0 || shouldDisconnect) this.#reconnect();
  }

  /** Has the next request resume a stream that has broken off after an event. */
  #resumeNext(
    id: string,
    kind: RequestKind,
    earlier: StreamPart | undefined,
    { status, body, isComplete }: Pick<AnswerRecord, 'status' | 'body' | 'isComplete'>,
  ): void {
    const hasBegun = status === 200 && !isComplete && body.includes('\n\n');
    if (kind !== RequestKind.Resumable || earlier !== undefined || !hasBegun) return;
    this.#toResume = { id, body: body.slice(0, body.lastIndexOf('\n\n') + 2) };
  }

  /** Prompts share one of a few first parts; some have the part that crashes workers at present. */
  #buildPromptHeaders(id: string): Readonly<Record<string, string>> {
    const { random, getPoisonedPart } = this.options;
    const first = `first${Math.floor(random() * FIRST_PARTS)}`;
    const isPoisoned = random() < POISONED_SHARE;
    const poison = isPoisoned ? getPoisonedPart() : undefined;
    const second = poison ?? `session${Math.floor(random() * SESSIONS)}`;
    return {
      'X-Model': 'm',
      'X-Token-Counts': '300,20',
      'X-Prompt-Prefix': `${first}:100,${second}:100,${id}:100`,
    };
  }

  #pickKeyVersion(): number {
    const { random, getVersion } = this.options;
    if (random() >= VERSIONED_SHARE) return 0;
    return Math.max(1, getVersion() - Math.floor(random() * KEY_VERSION_CHOICES));
  }

  #reconnect(): void {
    this.#agent.destroy();
    this.#agent = new Agent({ keepAlive: true, maxSockets: 1 });
    this.#vm = this.#pickVm();
  }

  #call(
    id: string,
    kind: RequestKind,
    key: string,
    shouldDisconnect: boolean,
    earlier: StreamPart | undefined,
  ): Promise<Pick<AnswerRecord, 'status' | 'body' | 'seal' | 'headAtMs' | 'isComplete'>> {
    const deadlineMs = this.#deadlineMs;
    const { ip, ports } = this.#vm.options;
    return new Promise((resolve) => {
      const finish = (
        status: number,
        body = '',
        seal?: string,
        headAtMs?: number,
        isComplete = false,
      ): void => {
        clearTimeout(timer);
        resolve({ status, body, seal, headAtMs, isComplete });
      };
      const request = sendHttp(
        {
          host: ip,
          port: ports.front,
          path: `/${kind}/x`,
          method: kind === RequestKind.Safe ? 'GET' : 'POST',
          agent: this.#agent,
          headers: {
            host: 'soak.example',
            'X-Request-Id': id,
            'X-Deadline-Ms': String(deadlineMs),
            'X-Key': key,
            ...(kind.startsWith('stream') ? this.#buildPromptHeaders(id) : {}),
            ...(earlier === undefined ? {} : buildResumeHeaders(earlier)),
          },
        },
        (response) => {
          const headAtMs = performance.now();
          let body = '';
          response.on('data', (chunk: Buffer) => (body += chunk.toString()));
          response.on('error', () => undefined);
          response.on('close', () => {
            const seal = response.headers['x-response-seal']?.toString();
            finish(response.statusCode ?? 0, body, seal, headAtMs, response.complete);
          });
        },
      );
      const timer = setTimeout(
        () => request.destroy(),
        shouldDisconnect ? DISCONNECT_AFTER_MS : deadlineMs + 500,
      );
      request.on('error', () => finish(0));
      request.end(kind === RequestKind.Safe ? undefined : 'body');
    });
  }
}
