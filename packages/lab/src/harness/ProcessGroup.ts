import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { formatIni } from './formatIni.js';
import { ManagedProcess } from './ManagedProcess.js';

import type { IniSections } from './formatIni.js';

const BINARIES = {
  entry: '../../../entry/dist/bin/sardinegradeEntry.js',
  controller: '../../../controller/dist/bin/sardinegradeController.js',
  cli: '../../../../platform/bin/sardinegrade.js',
  lab: '../bin/sardinegradeLab.js',
} as const;

/** Name of a binary of the project. */
export type BinaryName = keyof typeof BINARIES;

/**
 * Gets the path of a binary's compiled script.
 *
 * @param name - name of the binary
 * @returns the script's absolute path
 */
export const getBinaryPath = (name: BinaryName): string =>
  fileURLToPath(new URL(BINARIES[name], import.meta.url));

/** Manages the processes and temporary files of one test or benchmark, and removes them at its end. */
export class ProcessGroup {
  private readonly processes = new Set<ManagedProcess>();
  private folder: string | undefined;
  private fileCount = 0;
  private readonly handleExit = (): void => {
    for (const started of this.processes) started.sendSignal('SIGKILL');
    this.removeFolder();
  };

  constructor() {
    process.once('exit', this.handleExit);
  }

  /**
   * Starts a binary and waits until it is listening.
   *
   * @param binary - name of the binary
   * @param name - name of the process in error messages
   * @param args - command-line arguments
   * @returns the running process
   */
  async start(
    binary: BinaryName,
    name: string,
    args: readonly string[] = [],
  ): Promise<ManagedProcess> {
    const started = new ManagedProcess({ name, args: [getBinaryPath(binary), ...args] });
    this.processes.add(started);
    await started.waitListening();
    return started;
  }

  /**
   * Writes a settings file, starts a binary with it and waits until it is listening.
   *
   * @param binary - name of the binary
   * @param name - name of the process in error messages and of the settings file
   * @param settings - content of the settings file
   * @returns the running process
   */
  startConfigured(
    binary: BinaryName,
    name: string,
    settings: IniSections,
  ): Promise<ManagedProcess> {
    return this.start(binary, name, [
      '--config',
      this.writeFile(`${name}.ini`, formatIni(settings)),
    ]);
  }

  /**
   * Writes a temporary file.
   *
   * @param name - file name, to which a sequence number is prepended
   * @param text - content of the file
   * @returns the file's path
   */
  writeFile(name: string, text: string): string {
    this.folder ??= mkdtempSync(join(tmpdir(), 'sardinegrade-'));
    this.fileCount += 1;
    const path = join(this.folder, `${this.fileCount}-${name}`);
    writeFileSync(path, text);
    return path;
  }

  /** Kills all processes that are still running with SIGKILL and removes the temporary files. */
  async stop(): Promise<void> {
    process.removeListener('exit', this.handleExit);
    await Promise.all([...this.processes].map((started) => started.abort()));
    this.processes.clear();
    this.removeFolder();
  }

  /** Formats the standard error of all processes for the message of a failed test. */
  describe(): string {
    return [...this.processes]
      .map((started) => `--- ${started.name}\n${started.stderr}`)
      .join('\n');
  }

  private removeFolder(): void {
    if (this.folder !== undefined) rmSync(this.folder, { recursive: true, force: true });
    this.folder = undefined;
  }
}
