import { WriteOutcome } from '@sardinegrade/platform';
import { z } from 'zod';

import { LONG_OPEN_AFTER_MS, OPEN_LIST_KIND, OPEN_LIST_STALE_MS } from './constants.js';

import type { VmId } from '@sardinegrade/common';
import type { PlatformObject } from '@sardinegrade/platform';
import type { AgeTracker } from './ageTracker.js';
import type { OrderServiceOptions } from './types.js';

/** A daemon's stored list of the orders that it has had open for longer than LONG_OPEN_AFTER_MS. */
export interface OpenOrderList {
  readonly vm: VmId;
  readonly version: number;
  /** Names of the order records. */
  readonly names: readonly string[];
}

/** Lists of open orders, from which the orders of a gone daemon are found without reading all records. */
export interface OpenOrderLists {
  /** Registers an order that this daemon has open. */
  readonly add: (name: string) => void;
  readonly remove: (name: string) => void;
  /** Stores this daemon's list if it has changed; never rejects. */
  readonly publishOpenOrders: () => Promise<void>;
  /** Fetches the lists of daemons that are gone. */
  readonly fetchListsOfGoneDaemons: () => Promise<readonly OpenOrderList[]>;
  readonly removeList: (list: OpenOrderList) => Promise<void>;
}

type ListOptions = Pick<
  OrderServiceOptions,
  'platform' | 'getMonotonicMs' | 'vm' | 'newId' | 'writeBudget' | 'isVmGone'
> & { readonly ageTracker: AgeTracker };

const listSchema = z.object({ vm: z.string(), names: z.array(z.string()) });

const parseList = (object: PlatformObject): OpenOrderList => {
  const { vm, names } = listSchema.parse(object.value);
  return { vm: vm as VmId, names, version: object.version };
};

/** Creates one daemon's access to the lists of open orders. */
export const createOpenOrderLists = (options: ListOptions): OpenOrderLists => {
  const { platform, vm, getMonotonicMs } = options;
  const openSinceMs = new Map<string, number>();
  let version = 0;
  let published = '';

  const listLongOpen = (): readonly string[] => {
    const beforeMs = getMonotonicMs() - LONG_OPEN_AFTER_MS;
    return [...openSinceMs].filter(([, sinceMs]) => sinceMs <= beforeMs).map(([name]) => name);
  };

  const writeList = async (names: readonly string[]): Promise<void> => {
    options.writeBudget.use(1);
    const change = { kind: OPEN_LIST_KIND, name: vm, changeId: options.newId() };
    const value = { vm, names };
    const result = await platform.write({ ...change, ifVersion: version, value });
    if (result.outcome === WriteOutcome.Written) {
      version = result.version;
      published = names.join();
      return;
    }
    version = result.current?.version ?? 0;
  };

  const publishOpenOrders = async (): Promise<void> => {
    const names = listLongOpen();
    if (names.join() === published) return;
    // After a failed write, the next call tries again.
    await writeList(names).catch(() => undefined);
  };

  /**
   * Whether the list's daemon is gone: the membership reports it dead, or its list has not changed for
   * OPEN_LIST_STALE_MS. The second check covers daemons that this membership has no record of.
   */
  const isGone = (list: OpenOrderList): boolean =>
    options.isVmGone(list.vm) ||
    options.ageTracker.measureAgeMs(`${list.vm}:${list.version}`) >= OPEN_LIST_STALE_MS;

  const fetchListsOfGoneDaemons = async (): Promise<readonly OpenOrderList[]> => {
    const lists: OpenOrderList[] = [];
    let after: string | undefined;
    do {
      const page = await platform.list(OPEN_LIST_KIND, '', after);
      lists.push(...page.objects.map(parseList));
      after = page.next;
    } while (after !== undefined);
    return lists.filter(isGone);
  };

  const removeList = async (list: OpenOrderList): Promise<void> => {
    options.writeBudget.use(1);
    await platform.remove(OPEN_LIST_KIND, list.vm, list.version);
  };

  return {
    add: (name) => openSinceMs.set(name, getMonotonicMs()),
    remove: (name) => openSinceMs.delete(name),
    publishOpenOrders,
    fetchListsOfGoneDaemons,
    removeList,
  };
};
