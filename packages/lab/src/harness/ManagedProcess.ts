import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

import type { ChildProcessByStdio } from 'node:child_process';
import type { Readable } from 'node:stream';

/** What to start. */
export interface ProcessOptions {
  /** For messages. */
  readonly name: string;
  /** Script and arguments for the interpreter. */
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  readonly startTimeoutMs?: number;
}

/** The line by which a process says that it listens. */
export type Announcement = Readonly<Record<string, unknown>>;

const START_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 10_000;
const KEPT_ERROR_CHARACTERS = 200_000;

const parseAnnouncement = (line: string): Announcement | undefined => {
  try {
    const value: unknown = JSON.parse(line);
    if (typeof value !== 'object' || value === null) return undefined;
    return 'event' in value && value.event === 'listening' ? { ...value } : undefined;
  } catch {
    return undefined;
  }
};

/** A process started for a test or a benchmark. */
export class ManagedProcess {
  readonly name: string;
  /** Resolves with the exit code, or the signal's name, once the process is gone. */
  readonly exited: Promise<number | string>;
  private readonly child: ChildProcessByStdio<null, Readable, Readable>;
  private readonly startTimeoutMs: number;
  private announcement: Announcement = {};
  private errorText = '';
  private hasExited = false;

  constructor(options: ProcessOptions) {
    this.name = options.name;
    this.startTimeoutMs = options.startTimeoutMs ?? START_TIMEOUT_MS;
    this.child = spawn(process.execPath, [...options.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...options.environment },
    });
    this.child.stderr.on('data', (bytes: Buffer) => {
      this.errorText = (this.errorText + bytes.toString()).slice(-KEPT_ERROR_CHARACTERS);
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

  /** What the process has written to its standard error, the last part of it. */
  get stderr(): string {
    return this.errorText;
  }

  /**
   * Waits for the line that says that the process listens.
   *
   * @returns the line's fields
   * @throws Error with the process's standard error where it ends or is late
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
        () => reject(this.buildError('did not listen in time')),
        this.startTimeoutMs,
      );
      void this.exited.then((end) => reject(this.buildError(`ended with ${end}`)));
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
   * Reads an address from the process's announcement.
   *
   * @param field - the field's name, such as `callers`
   * @returns the address, as a URL where the process gave `host:port` alone
   */
  getAddress(field: string): string {
    const value = this.announcement[field];
    if (typeof value !== 'string') throw this.buildError(`announced no ${field}`);
    return value.includes('://') ? value : `http://${value}`;
  }

  /** Sends a signal to this process alone. */
  sendSignal(name: NodeJS.Signals): void {
    if (!this.hasExited) this.child.kill(name);
  }

  /** Ends the process as a crash does. */
  async abort(): Promise<void> {
    this.sendSignal('SIGKILL');
    await this.exited;
  }

  /**
   * Asks the process to end, and ends it where it does not in time.
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
    return new Error(`${this.name} ${reason}; its standard error:\n${this.errorText}`);
  }
}
