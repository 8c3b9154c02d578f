import { spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { buildSettingsFile } from '@sardinegrade/users-platform/testing';

import { VmLinkFault } from './VmLinks.js';

import type { SiteLimits, VmPorts } from '@sardinegrade/users-platform/testing';
import type { ChildProcess } from 'node:child_process';
import type { VmLinkMessage } from './VmLinks.js';

/** Options of a VM of the soak. */
export interface SoakVmOptions {
  readonly name: string;
  readonly ip: string;
  readonly ports: VmPorts;
  readonly storePort: number;
  /** Folder for the settings file and the log of the VM. */
  readonly folder: string;
  /** Path of the program that the VM runs. */
  readonly programPath: string;
  /**
   * Program of an older build. Every second VM begins with it, and each VM changes sides at each start, so that restarts are
   * upgrades and downgrades. Undefined if all VMs run the same program.
   */
  readonly olderProgramPath?: string | undefined;
  /** Limits of the VM that its settings name. */
  readonly limits?: SiteLimits | undefined;
  /** Number of the VM, which decides whether it begins with the older program. */
  readonly index?: number;
}

/** Time that the VM has for its shutdown after SIGTERM, in seconds. */
const GRACE_S = 8;

/** Module that the process imports before its program. */
const LINKS_MODULE = new URL('./attachVmLinks.js', import.meta.url).href;

/** One VM: a process of the real program, which the soak starts, signals and ends. */
export class SoakVm {
  #process: ChildProcess | undefined;
  /** Programs that were started, in order. */
  readonly startedPrograms: string[] = [];
  /** How often the process was started. */
  startCount = 0;
  /** Time of the last start, in milliseconds of the performance clock. */
  startedAtMs = 0;
  /** Time of the last start, or of the last signal other than SIGTERM that `send` sent, in milliseconds of the performance clock. */
  disturbedAtMs = 0;
  /** Programs whose processes ended without SIGTERM or abort, in order. */
  readonly endedPrograms: string[] = [];
  #isEndExpected = false;
  #isPaused = false;
  #links: VmLinkMessage = { fault: VmLinkFault.None, workerPorts: [] };
  /** Time of SIGTERM, in milliseconds of the performance clock; undefined before it and after a restart. */
  terminatedAtMs: number | undefined;

  /** @param options - name, addresses and folder */
  constructor(readonly options: SoakVmOptions) {
    mkdirSync(options.folder, { recursive: true });
    writeFileSync(this.#settingsFile, buildSettingsFile({ ...options, graceS: GRACE_S }));
  }

  get #settingsFile(): string {
    return join(this.options.folder, `${this.options.name}.json`);
  }

  /** Id of the process; undefined if it is not running. */
  get pid(): number | undefined {
    const child = this.#process;
    // A process that was ended by a signal has a null exit code, as a running one has.
    return child?.exitCode === null && child.signalCode === null ? child.pid : undefined;
  }

  /** Whether the process is running, was not told to end, and had no start or signal in the window before a time. */
  isUndisturbed(atMs: number, windowMs: number): boolean {
    const isRunning = this.pid !== undefined && this.terminatedAtMs === undefined;
    return isRunning && atMs - this.disturbedAtMs > windowMs;
  }

  /** Whether the process is running with its links to the workers, and had no start or signal in the window before a time. */
  isReference(atMs: number, windowMs: number): boolean {
    const isLinked = this.#links.fault === VmLinkFault.None;
    return isLinked && !this.#isPaused && this.isUndisturbed(atMs, windowMs);
  }

  /** Sets the ports of the workers and the fault of the connections to them, which outlast restarts of the process. */
  setLinks(links: Partial<VmLinkMessage>): void {
    this.#links = { ...this.#links, ...links };
    const child = this.#process;
    if (child?.connected === true) child.send(this.#links, () => undefined);
  }

  /** The program of the next start. */
  get #nextProgram(): string {
    const { programPath, olderProgramPath = programPath, index = 0 } = this.options;
    return (index + this.startCount) % 2 === 0 ? olderProgramPath : programPath;
  }

  /** How often the process ended without SIGTERM or abort. */
  get unexpectedEnds(): number {
    return this.endedPrograms.length;
  }

  /** Starts the process and appends its output to the log of the VM. */
  start(): void {
    const program = this.#nextProgram;
    this.startedPrograms.push(program);
    this.startCount += 1;
    const logPath = join(this.options.folder, `${this.options.name}.log`);
    // Opened at once: the process may have ended, and its folder may be gone, before a stream opens its file.
    const log = createWriteStream(logPath, { fd: openSync(logPath, 'a') });
    this.#process = spawn(process.execPath, ['--import', LINKS_MODULE, program], {
      env: { PATH: process.env.PATH, SARDINEGRADE_SETTINGS: this.#settingsFile },
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
    });
    this.#process.stdout?.pipe(log);
    this.#process.stderr?.pipe(log);
    this.#isEndExpected = false;
    this.#process.once('exit', () => {
      if (!this.#isEndExpected) this.endedPrograms.push(program);
    });
    this.terminatedAtMs = undefined;
    this.#isPaused = false;
    this.startedAtMs = performance.now();
    this.disturbedAtMs = this.startedAtMs;
    this.setLinks({});
  }

  /** Sends a signal to the process. */
  send(signal: NodeJS.Signals): void {
    this.#process?.kill(signal);
    if (signal === 'SIGTERM') {
      this.#isEndExpected = true;
      this.terminatedAtMs = performance.now();
      return;
    }
    this.disturbedAtMs = performance.now();
    this.#isPaused = signal === 'SIGSTOP';
  }

  /** Waits until the process has exited. */
  async waitForEnd(): Promise<void> {
    const child = this.#process;
    if (child?.exitCode !== null || child.signalCode !== null) return;
    await new Promise((resolve) => child.once('exit', resolve));
  }

  /** Kills the process, also if it is suspended, and waits for its exit. */
  async abort(): Promise<void> {
    this.#isEndExpected = true;
    // Callers notice the end before this process does.
    this.disturbedAtMs = performance.now();
    this.#process?.kill('SIGCONT');
    this.#process?.kill('SIGKILL');
    await this.waitForEnd();
  }
}
