import { PAGE_LIMIT } from '../constants.js';
import { WriteOutcome } from '../types.js';

import type {
  ObjectChange,
  ObjectPage,
  ObjectWrite,
  PlatformObject,
  WatchResult,
  WriteResult,
} from '../types.js';

/** Number of changes of one kind that are kept for watches. */
const CHANGE_LOG_LIMIT = 4_096;

interface StoredObject {
  readonly version: number;
  readonly changeId: string;
  /** Encoded value, so that readers and writers never share an object. */
  readonly json: string;
}

interface Change {
  readonly name: string;
  readonly version: number;
  readonly stored: StoredObject | undefined;
}

interface KindStore {
  readonly objects: Map<string, StoredObject>;
  readonly changeLog: Change[];
  /** Highest version that was dropped from the change log. */
  droppedVersion: number;
}

const toObject = (
  kind: string,
  name: string,
  stored: StoredObject | undefined,
): PlatformObject | undefined => {
  if (stored === undefined) return undefined;
  const { version, changeId, json } = stored;
  return { kind, name, version, changeId, value: JSON.parse(json) as unknown };
};

const toChange = (kind: string, change: Change): ObjectChange => ({
  kind,
  name: change.name,
  version: change.version,
  object: toObject(kind, change.name, change.stored),
});

/** Versioned objects with conditional writes and a log of changes. */
export class ObjectStore {
  private version = 0;
  private readonly storesByKind = new Map<string, KindStore>();
  private readonly onChange: (kind: string) => void;

  constructor(onChange: (kind: string) => void) {
    this.onChange = onChange;
  }

  read(kind: string, name: string): PlatformObject | undefined {
    return toObject(kind, name, this.storesByKind.get(kind)?.objects.get(name));
  }

  list(kind: string, prefix: string, after = '', limit = PAGE_LIMIT): ObjectPage {
    const objects = this.storesByKind.get(kind)?.objects ?? new Map<string, StoredObject>();
    const names = [...objects.keys()]
      .filter((name) => name.startsWith(prefix) && name > after)
      .sort();
    const page = names.slice(0, limit);
    return {
      objects: page.flatMap((name) => toObject(kind, name, objects.get(name)) ?? []),
      next: names.length > page.length ? page.at(-1) : undefined,
    };
  }

  write(write: ObjectWrite, json: string): WriteResult {
    const { kind, name, ifVersion, changeId } = write;
    if (!this.hasVersion(kind, name, ifVersion)) return this.createConflict(kind, name);
    this.version += 1;
    this.applyChange(kind, name, { version: this.version, changeId, json });
    return { outcome: WriteOutcome.Written, version: this.version };
  }

  remove(kind: string, name: string, ifVersion: number): WriteResult {
    if (!this.hasVersion(kind, name, ifVersion)) return this.createConflict(kind, name);
    this.version += 1;
    this.applyChange(kind, name, undefined);
    return { outcome: WriteOutcome.Written, version: this.version };
  }

  /** Lists the changes of a kind after a version; undefined if there are none. */
  collectChanges(kind: string, after: number): WatchResult | undefined {
    const store = this.storesByKind.get(kind);
    if (store === undefined) return undefined;
    if (after < store.droppedVersion) {
      return { version: this.version, changes: [], isTruncated: true };
    }
    const changes = store.changeLog.filter((change) => change.version > after);
    if (changes.length === 0) return undefined;
    return {
      version: this.version,
      changes: changes.map((change) => toChange(kind, change)),
      isTruncated: false,
    };
  }

  getVersion(): number {
    return this.version;
  }

  private hasVersion(kind: string, name: string, ifVersion: number): boolean {
    return (this.storesByKind.get(kind)?.objects.get(name)?.version ?? 0) === ifVersion;
  }

  private createConflict(kind: string, name: string): WriteResult {
    return { outcome: WriteOutcome.Conflict, current: this.read(kind, name) };
  }

  private applyChange(kind: string, name: string, stored: StoredObject | undefined): void {
    const store = this.ensureKind(kind);
    if (stored === undefined) store.objects.delete(name);
    else store.objects.set(name, stored);
    store.changeLog.push({ name, version: this.version, stored });
    if (store.changeLog.length > CHANGE_LOG_LIMIT) {
      store.droppedVersion = store.changeLog.shift()?.version ?? 0;
    }
    this.onChange(kind);
  }

  private ensureKind(kind: string): KindStore {
    const known = this.storesByKind.get(kind);
    if (known !== undefined) return known;
    const created: KindStore = { objects: new Map(), changeLog: [], droppedVersion: 0 };
    this.storesByKind.set(kind, created);
    return created;
  }
}
