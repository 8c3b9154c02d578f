import { Agent, request as sendHttp } from 'node:http';

import { RequestKind } from './SoakLedger.js';

import type { RandomSource } from '@sardinegrade/dispatch';
import type { AnswerRecord, SoakLedger } from './SoakLedger.js';
import type { SoakVm } from './SoakVm.js';

const KINDS = Object.values(RequestKind);

/** Time that a caller waits for an answer, in milliseconds. */
const DEADLINE_MS = 1_500;

/** Pause between two requests of a caller, in milliseconds. */
const PAUSE_MS = 40;

/** Part of the callers' requests that they leave before the answer. */
const LEAVING_SHARE = 0.05;
const LEAVE_AFTER_MS = 60;

/** Part of the requests whose key comes and goes with a version, and how far back these go. */
const VERSIONED_SHARE = 0.3;
const OLD_VERSIONS = 4;

/** A VM that was disturbed this recently is not held to planned work, in milliseconds (the stable window). */
const CALM_MS = 3_000;

/**
 * Formats the key that a configuration brings.
 *
 * @param version - the configuration; 0 for the key that all hold
 * @returns the key
 */
export const formatKey = (version: number): string => (version === 0 ? 'k' : `k${version}`);

/** What a caller needs. */
export interface SoakCallerOptions {
  readonly name: string;
  readonly vms: readonly SoakVm[];
  readonly ledger: SoakLedger;
  readonly random: RandomSource;
  /** Newest version of the configuration. */
  readonly getVersion: () => number;
  /** Whether workers, links and store have been left alone for the stable window. */
  readonly isCalm: () => boolean;
}

/** A caller that sends requests one after another, over one open connection for as long as it lives. */
export class SoakCaller {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  #vm: SoakVm;
  #sent = 0;
  #isStopped = false;

  /** @param options - name, VMs and ledger */
  constructor(private readonly options: SoakCallerOptions) {
    this.#vm = this.#pickVm();
  }

  /** Sends until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#sendOne();
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
    }
    this.#agent.destroy();
  }

  /** Ends after the request in progress. */
  stop(): void {
    this.#isStopped = true;
  }

  #pickVm(): SoakVm {
    const { vms, random } = this.options;
    const vm = vms[Math.floor(random() * vms.length)];
    if (vm === undefined) throw new Error('There is no VM to call.');
    return vm;
  }

  async #sendOne(): Promise<void> {
    const { name, random, ledger, isCalm } = this.options;
    this.#sent += 1;
    const id = `${name}-${this.#sent}`;
    const kind = KINDS[Math.floor(random() * KINDS.length)] ?? RequestKind.Safe;
    const vm = this.#vm;
    const isLeaving = random() < LEAVING_SHARE;
    const sentAtMs = performance.now();
    const keyVersion = this.#pickKeyVersion();
    const { life } = vm;
    const wasCalm = isCalm();
    const result = await this.#call(id, kind, formatKey(keyVersion), isLeaving);
    const hasEnd = vm.terminatedAtMs !== undefined;
    const isUndisturbed = sentAtMs - vm.disturbedAtMs > CALM_MS && wasCalm && isCalm();
    if (!isLeaving) {
      ledger.recordAnswer({
        id,
        kind,
        vm: vm.options.name,
        life,
        keyVersion,
        sentAtMs,
        endedAtMs: performance.now(),
        deadlineMs: DEADLINE_MS,
        isPlannedEnd: hasEnd && isUndisturbed,
        ...result,
      });
    }
    if (result.status === 0 || isLeaving) this.#reconnect();
  }

  #pickKeyVersion(): number {
    const { random, getVersion } = this.options;
    if (random() >= VERSIONED_SHARE) return 0;
    return Math.max(1, getVersion() - Math.floor(random() * OLD_VERSIONS));
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
    isLeaving: boolean,
  ): Promise<Pick<AnswerRecord, 'status' | 'body' | 'isSealed' | 'isWhole'>> {
    const { ip, ports } = this.#vm.options;
    return new Promise((resolve) => {
      const finish = (status: number, body = '', isSealed = false, isWhole = false): void => {
        clearTimeout(timer);
        resolve({ status, body, isSealed, isWhole });
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
            'X-Deadline-Ms': String(DEADLINE_MS),
            'X-Key': key,
          },
        },
        (response) => {
          let body = '';
          response.on('data', (piece: Buffer) => (body += piece.toString()));
          response.on('error', () => undefined);
          response.on('close', () => {
            const isSealed = response.headers['x-response-seal'] !== undefined;
            finish(response.statusCode ?? 0, body, isSealed, response.complete);
          });
        },
      );
      const timer = setTimeout(
        () => request.destroy(),
        isLeaving ? LEAVE_AFTER_MS : DEADLINE_MS + 500,
      );
      request.on('error', () => finish(0));
      request.end(kind === RequestKind.Safe ? undefined : 'body');
    });
  }
}
