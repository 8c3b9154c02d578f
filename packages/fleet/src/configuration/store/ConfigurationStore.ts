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
  WRITE_ATTEMPT_LIMIT,
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

/** Dependencies of the store. */
export interface ConfigurationStoreOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  /** Returns the highest generation known in the fleet; a new generation is always higher. */
  readonly getHighestGeneration: () => number;
  /** Sleep and random source for confirming writes whose answer was lost. */
  readonly confirm?: ConfirmOptions;
}

/** The current record, and the object version that a conditional write must name. */
interface CurrentObject {
  readonly version: number;
  readonly record: ConfigurationRecord | undefined;
}

/** Builds the revision to write on top of the current record; undefined if nothing changes. */
type RevisionBuilder = (current: ConfigurationRecord | undefined) => Revision | undefined;

interface Revision {
  readonly text: string;
  /** The text is the one of the current record, so its text generation is kept. */
  readonly isTextUnchanged: boolean;
  readonly drains: ConfigurationRecord['drains'];
  readonly author: string;
}

const getSlot = (generation: number): string =>
  `slot-${String(generation % HISTORY_LENGTH).padStart(4, '0')}`;

/** Stores the generations of the configuration in the platform. */
export class ConfigurationStore {
  private readonly options: ConfigurationStoreOptions;

  constructor(options: ConfigurationStoreOptions) {
    this.options = options;
  }

  /** Reads the current record and its object version. */
  async readCurrent(): Promise<CurrentObject> {
    const object = await this.options.platform.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
    if (object === undefined) return { version: 0, record: undefined };
    const record = decodeRecord(object.value);
    if (record !== undefined) return { version: object.version, record };
    throw new PlatformError(PlatformFailure.Invalid, 'The configuration object is malformed.');
  }

  /**
   * Stores a text as the next generation.
   *
   * @param change - the text, and the generation that it is based on
   * @returns the new generation, or the one that an earlier attempt of the same change created
   */
  async apply(change: ConfigurationChange): Promise<ConfigurationRecord> {
    parseConfiguration(change.text, change.baseGeneration + 1);
    return this.updateRecord(change.changeId, change.baseGeneration, (current) => {
      if (current !== undefined && current.textGeneration > change.baseGeneration) {
        throw new ConfigurationConflictError(change.baseGeneration, current, change.text);
      }
      const drains = current?.drains ?? [];
      return { text: change.text, isTextUnchanged: false, drains, author: change.author };
    });
  }

  /**
   * Stores the text of an old generation as the next generation.
   *
   * @param generation - old generation to restore
   * @param change - author and change id, and the generation that the change is based on
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
   * @param change - the drain mark, and whether to set or clear it
   * @returns the new generation, or the current one if the mark is already as requested
   */
  async setDrain(change: DrainChange): Promise<ConfigurationRecord> {
    const { drain, isDraining, changeId } = change;
    return this.updateRecord(changeId, undefined, (current) => {
      if (current === undefined) {
        throw new SardinegradeError(ResultCode.UnknownTarget, 'No configuration stands yet.');
      }
      const others = current.drains.filter(
        (other) => other.scope !== drain.scope || other.name !== drain.name,
      );
      const isMarked = others.length !== current.drains.length;
      if (isMarked === isDraining) return undefined;
      const drains = isDraining ? [...others, drain] : others;
      return { text: current.text, isTextUnchanged: true, drains, author: drain.author };
    });
  }

  /**
   * Lists the generations in the history, including the current one.
   *
   * @param before - exclusive upper bound of the generations
   * @param limit - maximum number of generations; capped at `HISTORY_PAGE_LIMIT`
   * @returns the generations, newest first
   */
  async listHistory(before: number, limit: number): Promise<readonly ConfigurationRecord[]> {
    const { record } = await this.readCurrent();
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
    const { record } = await this.readCurrent();
    if (record?.generation === generation) return record;
    return this.readHistory(generation);
  }

  private async readHistory(generation: number): Promise<ConfigurationRecord | undefined> {
    const object = await this.options.platform.read(HISTORY_KIND, getSlot(generation));
    const record = decodeRecord(object?.value);
    return record?.generation === generation ? record : undefined;
  }

  /** Writes a revision of the current record; builds it again after each conflict with another writer. */
  private async updateRecord(
    changeId: string,
    baseGeneration: number | undefined,
    buildRevision: RevisionBuilder,
  ): Promise<ConfigurationRecord> {
    let mayHaveTakenEffect = false;
    for (let attempt = 0; attempt < WRITE_ATTEMPT_LIMIT; attempt += 1) {
      const current = await this.readCurrent();
      if (current.record?.changeId === changeId) return current.record;
      const earlier = await this.findChange(changeId, baseGeneration, current.record, attempt);
      if (earlier !== undefined) return earlier;
      const revision = buildRevision(current.record);
      if (revision === undefined && current.record !== undefined) return current.record;
      if (revision === undefined) break;
      const record = this.buildRecord(current.record, revision, changeId);
      const result = await this.write(current, record);
      if (result.isWritten) return record;
      mayHaveTakenEffect ||= result.mayHaveTakenEffect;
    }
    const failure = mayHaveTakenEffect ? PlatformFailure.Uncertain : PlatformFailure.Limited;
    throw new PlatformError(failure, 'Too many changes of the configuration at once.');
  }

  /** Finds the record of an earlier attempt whose answer was lost and which other writers have since replaced. */
  private async findChange(
    changeId: string,
    baseGeneration: number | undefined,
    current: ConfigurationRecord | undefined,
    attempt: number,
  ): Promise<ConfigurationRecord | undefined> {
    // Drain marks are idempotent, so an earlier attempt needs no lookup.
    if (baseGeneration === undefined) return undefined;
    const isConflict = current !== undefined && current.textGeneration > baseGeneration;
    if (!isConflict && attempt === 0) return undefined;
    const highest = (current?.generation ?? 0) - 1;
    const lowest = Math.max(1, baseGeneration + 1, highest - HISTORY_PAGE_LIMIT + 1);
    for (let generation = highest; generation >= lowest; generation -= 1) {
      const record = await this.readHistory(generation);
      if (record?.changeId === changeId) return record;
    }
    return undefined;
  }

  private buildRecord(
    current: ConfigurationRecord | undefined,
    revision: Revision,
    changeId: string,
  ): ConfigurationRecord {
    const generation = Math.max(current?.generation ?? 0, this.options.getHighestGeneration()) + 1;
    return {
      generation,
      text: revision.text,
      textGeneration: revision.isTextUnchanged
        ? (current?.textGeneration ?? generation)
        : generation,
      drains: revision.drains,
      author: revision.author,
      changeId,
      atMs: this.options.clock.getNowMs(),
    };
  }

  private async write(
    current: CurrentObject,
    record: ConfigurationRecord,
  ): Promise<{ readonly isWritten: boolean; readonly mayHaveTakenEffect: boolean }> {
    // The replaced record is written to the history first, so that no generation is missing there.
    if (current.record !== undefined) await this.writeHistory(current.record);
    const result = await this.writeObject({
      kind: CONFIGURATION_KIND,
      name: CONFIGURATION_NAME,
      ifVersion: current.version,
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

  private async writeHistory(record: ConfigurationRecord): Promise<void> {
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
