import { ResultCode, SardinegradeError } from '@sardinegrade/common';
import {
  PlatformError,
  PlatformFailure,
  WriteOutcome,
  writeConfirmed,
} from '@sardinegrade/platform';

import { parseConfiguration } from '../parseConfiguration.js';
import { ConfigurationConflictError } from './ConfigurationConflictError.js';
import {
  CONFIGURATION_KIND,
  CONFIGURATION_NAME,
  HISTORY_KIND,
  HISTORY_LENGTH,
  HISTORY_PAGE_LIMIT,
  WRITE_ATTEMPTS,
} from './constants.js';
import { decodeRecord, encodeRecord } from './recordCodec.js';

import type { Clock } from '@sardinegrade/common';
import type {
  ConfirmOptions,
  ObjectWrite,
  PlatformClient,
  WriteResult,
} from '@sardinegrade/platform';
import type { ConfigurationChange, ConfigurationRecord, DrainChange } from '../../types.js';

/** What the store needs. */
export interface ConfigurationStoreOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  /** The highest generation that the fleet has; a new one is always above it. */
  readonly getHighest: () => number;
  /** Sources of time and chance for reading back lost answers. */
  readonly confirm?: ConfirmOptions;
}

/** The object that stands, with the version that a write has to name. */
interface Standing {
  readonly version: number;
  readonly record: ConfigurationRecord | undefined;
}

/** What is to be written on top of what stands; undefined where nothing is to be changed. */
type Revise = (standing: ConfigurationRecord | undefined) => Revision | undefined;

interface Revision {
  readonly text: string;
  /** The text stays the one that the standing record brought. */
  readonly keepsText: boolean;
  readonly drains: ConfigurationRecord['drains'];
  readonly author: string;
}

const getSlot = (generation: number): string =>
  `slot-${String(generation % HISTORY_LENGTH).padStart(4, '0')}`;

/** Keeps the generations of the configuration in the platform. */
export class ConfigurationStore {
  private readonly options: ConfigurationStoreOptions;

  constructor(options: ConfigurationStoreOptions) {
    this.options = options;
  }

  /** Reads the object that stands. */
  async readStanding(): Promise<Standing> {
    const object = await this.options.platform.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
    if (object === undefined) return { version: 0, record: undefined };
    const record = decodeRecord(object.value);
    if (record !== undefined) return { version: object.version, record };
    throw new PlatformError(PlatformFailure.Invalid, 'The configuration object is malformed.');
  }

  /**
   * Makes a text the next generation.
   *
   * @param change - the text, and the generation that its author started from
   * @returns the new generation, or the one that an earlier send of the same change has made
   */
  async apply(change: ConfigurationChange): Promise<ConfigurationRecord> {
    parseConfiguration(change.text, change.baseGeneration + 1);
    return this.updateRecord(change.changeId, change.baseGeneration, (standing) => {
      if (standing !== undefined && standing.textGeneration > change.baseGeneration) {
        throw new ConfigurationConflictError(change.baseGeneration, standing, change.text);
      }
      const drains = standing?.drains ?? [];
      return { text: change.text, keepsText: false, drains, author: change.author };
    });
  }

  /**
   * Makes the text of an old generation the next one.
   *
   * @param generation - the old generation
   * @param change - who asks, and the generation that stands in their eyes
   * @returns the new generation
   */
  async applyGeneration(
    generation: number,
    change: Omit<ConfigurationChange, 'text'>,
  ): Promise<ConfigurationRecord> {
    const old = await this.findGeneration(generation);
    if (old !== undefined) return this.apply({ ...change, text: old.text });
    throw new SardinegradeError(
      ResultCode.UnknownTarget,
      `Generation ${generation} is not in the history.`,
    );
  }

  /**
   * Sets or clears a drain mark.
   *
   * @param change - the mark, and whether it is to stand
   * @returns the generation that has it so
   */
  async setDrain(change: DrainChange): Promise<ConfigurationRecord> {
    const { drain, isDraining, changeId } = change;
    return this.updateRecord(changeId, undefined, (standing) => {
      if (standing === undefined) {
        throw new SardinegradeError(ResultCode.UnknownTarget, 'No configuration stands yet.');
      }
      const others = standing.drains.filter(
        (other) => other.scope !== drain.scope || other.name !== drain.name,
      );
      const stands = others.length !== standing.drains.length;
      if (stands === isDraining) return undefined;
      const drains = isDraining ? [...others, drain] : others;
      return { text: standing.text, keepsText: true, drains, author: drain.author };
    });
  }

  /**
   * Lists kept generations.
   *
   * @param before - only generations below this one
   * @param limit - how many at most
   * @returns the generations, newest first
   */
  async listHistory(before: number, limit: number): Promise<readonly ConfigurationRecord[]> {
    const { record } = await this.readStanding();
    const highest = Math.min(before - 1, record?.generation ?? 0);
    const lowest = Math.max(1, highest - Math.min(limit, HISTORY_PAGE_LIMIT) + 1);
    const found: ConfigurationRecord[] = [];
    for (let generation = highest; generation >= lowest; generation -= 1) {
      const kept = generation === record?.generation ? record : await this.readHistory(generation);
      if (kept !== undefined) found.push(kept);
    }
    return found;
  }

  private async findGeneration(generation: number): Promise<ConfigurationRecord | undefined> {
    const { record } = await this.readStanding();
    if (record?.generation === generation) return record;
    return this.readHistory(generation);
  }

  private async readHistory(generation: number): Promise<ConfigurationRecord | undefined> {
    const object = await this.options.platform.read(HISTORY_KIND, getSlot(generation));
    const record = decodeRecord(object?.value);
    return record?.generation === generation ? record : undefined;
  }

  /** Writes what a revision makes of the standing record, anew whenever another writer was faster. */
  private async updateRecord(
    changeId: string,
    baseGeneration: number | undefined,
    revise: Revise,
  ): Promise<ConfigurationRecord> {
    let mayHaveTakenEffect = false;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
      const standing = await this.readStanding();
      if (standing.record?.changeId === changeId) return standing.record;
      const earlier = await this.findChange(changeId, baseGeneration, standing.record, attempt);
      if (earlier !== undefined) return earlier;
      const revision = revise(standing.record);
      if (revision === undefined && standing.record !== undefined) return standing.record;
      if (revision === undefined) break;
      const record = this.buildRecord(standing.record, revision, changeId);
      const result = await this.write(standing, record);
      if (result.isWritten) return record;
      mayHaveTakenEffect ||= result.mayHaveTakenEffect;
    }
    const failure = mayHaveTakenEffect ? PlatformFailure.Uncertain : PlatformFailure.Limited;
    throw new PlatformError(failure, 'Too many changes of the configuration at once.');
  }

  /** Finds an earlier send of a change whose answer was lost and which others have since overwritten. */
  private async findChange(
    changeId: string,
    baseGeneration: number | undefined,
    standing: ConfigurationRecord | undefined,
    attempt: number,
  ): Promise<ConfigurationRecord | undefined> {
    // A drain mark that is set twice has no second effect anyway.
    if (baseGeneration === undefined) return undefined;
    const isConflict = standing !== undefined && standing.textGeneration > baseGeneration;
    if (!isConflict && attempt === 0) return undefined;
    const highest = (standing?.generation ?? 0) - 1;
    const lowest = Math.max(1, baseGeneration + 1, highest - HISTORY_PAGE_LIMIT + 1);
    for (let generation = highest; generation >= lowest; generation -= 1) {
      const record = await this.readHistory(generation);
      if (record?.changeId === changeId) return record;
    }
    return undefined;
  }

  private buildRecord(
    standing: ConfigurationRecord | undefined,
    revision: Revision,
    changeId: string,
  ): ConfigurationRecord {
    const generation = Math.max(standing?.generation ?? 0, this.options.getHighest()) + 1;
    return {
      generation,
      text: revision.text,
      textGeneration: revision.keepsText ? (standing?.textGeneration ?? generation) : generation,
      drains: revision.drains,
      author: revision.author,
      changeId,
      atMs: this.options.clock.getNowMs(),
    };
  }

  private async write(
    standing: Standing,
    record: ConfigurationRecord,
  ): Promise<{ readonly isWritten: boolean; readonly mayHaveTakenEffect: boolean }> {
    // The record that is about to be overwritten is kept first, so that no generation is missing.
    if (standing.record !== undefined) await this.keepHistory(standing.record);
    const result = await this.writeObject({
      kind: CONFIGURATION_KIND,
      name: CONFIGURATION_NAME,
      ifVersion: standing.version,
      changeId: record.changeId,
      value: encodeRecord(record),
    });
    if (result.outcome === WriteOutcome.Written) {
      return { isWritten: true, mayHaveTakenEffect: false };
    }
    return { isWritten: false, mayHaveTakenEffect: result.mayHaveTakenEffect ?? false };
  }

  private writeObject(write: ObjectWrite): Promise<WriteResult> {
    return writeConfirmed(this.options.platform, write, this.options.confirm);
  }

  private async keepHistory(record: ConfigurationRecord): Promise<void> {
    const name = getSlot(record.generation);
    const slot = await this.options.platform.read(HISTORY_KIND, name);
    const kept = decodeRecord(slot?.value);
    if (kept !== undefined && kept.generation >= record.generation) return;
    await this.writeObject({
      kind: HISTORY_KIND,
      name,
      ifVersion: slot?.version ?? 0,
      changeId: `history-${record.generation}-${record.changeId}`,
      value: encodeRecord(record),
    });
  }
}
