import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

import type { ChildProcessByStdio } from 'node:child_process';
import type { Readable } from 'node:stream';

/** Options of a process to start. */
export interface ProcessOptions {
  /** Name of the process in error messages. */
  readonly name: string;
  /** Script and arguments that are passed to Node.js. */
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  readonly startTimeoutMs?: number;
}

/** Fields of the JSON line that a process prints once it is listening. */
export type Announcement = Readonly<Record<string, unknown>>;

const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 10_000;
const STDERR_LIMIT_CHARACTERS = 200_000;

const parseAnnouncement = (line: string): Announcement | undefined => {
  try {
    const value: unknown = JSON.parse(line);
    if (typeof value !== 'object' || value === null) return undefined;
    return 'event' in value && value.event === 'listening' ? { ...value } : undefined;
  } catch {
    return undefined;
  }
};

/** A child process of a test or benchmark. */
export class ManagedProcess {
  readonly name: string;
  /** Resolves with the exit code or the signal's name when the process exits, or with the message of a spawn error. */
  readonly exited: Promise<number | string>;
  private readonly child: ChildProcessByStdio<null, Readable, Readable>;
  private readonly startTimeoutMs: number;
  private announcement: Announcement = {};
  private stderrText = '';
  private hasExited = false;

  constructor(options: ProcessOptions) {
    this.name = options.name;
    this.startTimeoutMs = options.startTimeoutMs ?? START_TIMEOUT_MS;
    this.child = spawn(process.execPath, [...options.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...options.environment },
    });
    this.child.stderr.on('data', (bytes: Buffer) => {
      this.stderrText = (this.stderrText + bytes.toString()).slice(-STDERR_LIMIT_CHARACTERS);
    });
    this.exited = new Promise((resolve) => {
      this.child.once('error', (error) => resolve(error.message));
      this.child.once('exit', (code, signal) => {
        this.hasExited = true;
        resolve(code ?? signal ?? 'unknown');
      });
    });
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return !this.hasExited;
  }

  /** Last part of the process's standard error. */
  get stderr(): string {
    return this.stderrText;
  }

  /**
   * Waits until the process announces that it is listening.
   *
   * @returns the announcement's fields
   * @throws Error with the process's standard error if the process exits or the start timeout expires
   */
  async waitListening(): Promise<Announcement> {
    const lines = createInterface({ input: this.child.stdout });
    const announced = new Promise<Announcement>((resolve) => {
      lines.on('line', (line) => {
        const announcement = parseAnnouncement(line);
        if (announcement !== undefined) resolve(announcement);
      });
    });
    let timer: NodeJS.Timeout | undefined;
    const failed = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(
        () => reject(this.buildError('did not announce its address before the start timeout')),
        this.startTimeoutMs,
      );
      void this.exited.then((end) => reject(this.buildError(`exited with ${end}`)));
    });
    failed.catch(() => undefined);
    try {
      this.announcement = await Promise.race([announced, failed]);
      return this.announcement;
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Gets an address from the process's announcement.
   *
   * @param field - field of the announcement, such as `callers`
   * @returns the address, with `http://` prepended if the process announced only `host:port`
   */
  getAddress(field: string): string {
    const value = this.announcement[field];
    if (typeof value !== 'string') throw this.buildError(`did not announce the address '${field}'`);
    return value.includes('://') ? value : `http://${value}`;
  }

  /** Sends a signal to this process, but not to its children. */
  sendSignal(name: NodeJS.Signals): void {
    if (!this.hasExited) this.child.kill(name);
  }

  /** Kills the process with SIGKILL, which simulates a crash, and waits until it has exited. */
  async abort(): Promise<void> {
    this.sendSignal('SIGKILL');
    await this.exited;
  }

  /**
   * Stops the process with SIGTERM, also if it is suspended, and with SIGKILL after the timeout.
   *
   * @returns the exit code or the signal's name
   */
  async stop(timeoutMs = STOP_TIMEOUT_MS): Promise<number | string> {
    this.sendSignal('SIGCONT');
    this.sendSignal('SIGTERM');
    const timer = setTimeout(() => this.sendSignal('SIGKILL'), timeoutMs);
    const end = await this.exited;
    clearTimeout(timer);
    return end;
  }

  private buildError(reason: string): Error {
    return new Error(`${this.name} ${reason}; its standard error:\n${this.stderrText}`);
  }
}
