import { WriteOutcome } from '@sardinegrade/platform';
import { z } from 'zod';

import { OPEN_AFTER_MS, OPEN_LIST_KIND, OPEN_LIST_STALE_MS } from './constants.js';

import type { VmId } from '@sardinegrade/common';
import type { PlatformObject } from '@sardinegrade/platform';
import type { Observations } from './observations.js';
import type { OrderServiceOptions } from './types.js';

/** The orders that a daemon has had open for long, as the platform holds them. */
export interface OpenOrderList {
  readonly vm: VmId;
  readonly version: number;
  readonly names: readonly string[];
}

/** Lists of open orders, by which those of a daemon that is gone are found without reading all records. */
export interface OpenOrderLists {
  readonly add: (name: string) => void;
  readonly remove: (name: string) => void;
  /** Publishes this daemon's list where it has changed; never rejects. */
  readonly publishOpenOrders: () => Promise<void>;
  /** Lists what daemons that are gone have left open. */
  readonly listGone: () => Promise<readonly OpenOrderList[]>;
  readonly removeList: (list: OpenOrderList) => Promise<void>;
}

type ListOptions = Pick<
  OrderServiceOptions,
  'platform' | 'getMonotonicMs' | 'vm' | 'newId' | 'writeBudget' | 'isVmGone'
> & { readonly observations: Observations };

const listSchema = z.object({ vm: z.string(), names: z.array(z.string()) });

const parseList = (object: PlatformObject): OpenOrderList => {
  const { vm, names } = listSchema.parse(object.value);
  return { vm: vm as VmId, names, version: object.version };
};

/** Creates the lists as one daemon keeps and reads them. */
export const createOpenOrderLists = (options: ListOptions): OpenOrderLists => {
  const { platform, vm, getMonotonicMs } = options;
  const openSince = new Map<string, number>();
  let version = 0;
  let published = '';

  const listLong = (): readonly string[] => {
    const beforeMs = getMonotonicMs() - OPEN_AFTER_MS;
    return [...openSince].filter(([, sinceMs]) => sinceMs <= beforeMs).map(([name]) => name);
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
    const names = listLong();
    if (names.join() === published) return;
    // A list that could not be written is written with the next change or publication.
    await writeList(names).catch(() => undefined);
  };

  /** A list that stands unchanged for long belongs to a daemon that the membership has forgotten. */
  const isGone = (list: OpenOrderList): boolean =>
    options.isVmGone(list.vm) ||
    options.observations.measureAgeMs(`${list.vm}:${list.version}`) >= OPEN_LIST_STALE_MS;

  const listGone = async (): Promise<readonly OpenOrderList[]> => {
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
    add: (name) => openSince.set(name, getMonotonicMs()),
    remove: (name) => openSince.delete(name),
    publishOpenOrders,
    listGone,
    removeList,
  };
};
