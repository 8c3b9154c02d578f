import { createHash } from 'node:crypto';

import {
  AdministratorRole,
  createLogger,
  createMetrics,
  LogFormat,
  LogLevel,
  ResultCode,
  SardinegradeError,
  startTracing,
  toBranded,
} from '@sardinegrade/common';
import { MemberState, parseConfiguration } from '@sardinegrade/fleet';

import { createRequestJournal } from '../journal/index.js';

import type { Clock } from '@sardinegrade/common';
import type { ConfigurationRecord, Drain, FleetConfiguration, Member } from '@sardinegrade/fleet';
import type {
  AdministeredOrder,
  AdministrationContext,
  Administrator,
  FleetAdministration,
  OrderAdministration,
} from '../types.js';

/** Key of an administrator with the role read. */
export const READ_KEY = 'key-of-reader';

/** Key of an administrator with the roles read and change. */
export const CHANGE_KEY = 'key-of-changer';

/** Key of an administrator with the roles read and settle. */
export const SETTLE_KEY = 'key-of-settler';

/** Configuration with a model service that depends on a plain service. */
export const TEST_TEXT = `[service.counter]
kind = model
model = drill-7b
pool = engines
depends[] = booking
[service.counter.class.query]
tier = paying
[service.booking]
kind = plain
pool = desk
[service.booking.class.book]
tier = paying
[workspace.rig-desk]
key_sha256[] = ${'a'.repeat(64)}
[upstream.e1]
pool = engines
data_centre = hobart
address = http://127.0.0.1:9001
[upstream.e2]
pool = engines
data_centre = hobart
address = http://127.0.0.1:9002
[upstream.d1]
pool = desk
data_centre = hobart
address = http://127.0.0.1:9003
`;

const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

const createAdministrator = (
  name: string,
  key: string,
  roles: readonly AdministratorRole[],
): Administrator => ({ name, roles: new Set(roles), keyHashes: [hashKey(key)] });

const { Read, Change, Settle } = AdministratorRole;

const ADMINISTRATORS: readonly Administrator[] = [
  createAdministrator('reader', READ_KEY, [Read]),
  createAdministrator('changer', CHANGE_KEY, [Read, Change]),
  createAdministrator('settler', SETTLE_KEY, [Read, Settle]),
];

const MEMBERS: readonly Member[] = ['vm-1', 'vm-2'].map((vm) => ({
  vm: toBranded(vm),
  dataCentre: toBranded('hobart'),
  address: '127.0.0.1:7000',
  incarnation: 1,
  state: MemberState.Alive,
}));

/** Fleet administration with an in-memory configuration history. */
class InMemoryFleet implements FleetAdministration {
  readonly #clock: Clock;
  readonly #records: ConfigurationRecord[] = [];
  #drains: readonly Drain[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#append(TEST_TEXT, 'first');
  }

  readonly getMembers: FleetAdministration['getMembers'] = () => MEMBERS;

  readonly getMemberGeneration: FleetAdministration['getMemberGeneration'] = () => 1;

  readonly getConfiguration = (): FleetConfiguration => ({
    ...parseConfiguration(this.#latest.text, this.#latest.generation),
    drains: this.#drains,
  });

  readonly getConfigurationStatus: FleetAdministration['getConfigurationStatus'] = () => {
    const { generation } = this.#latest;
    return { generation, highestKnownGeneration: generation, isWatcher: false };
  };

  readonly applyConfiguration: FleetAdministration['applyConfiguration'] = (change) => {
    parseConfiguration(change.text, change.baseGeneration + 1);
    return this.#change(change.baseGeneration, () => this.#append(change.text, change.author));
  };

  readonly restoreConfiguration: FleetAdministration['restoreConfiguration'] = (old, change) => {
    const record = this.#records.find(({ generation }) => generation === old);
    if (record === undefined) {
      throw new SardinegradeError(ResultCode.UnknownTarget, `No generation ${old}.`);
    }
    return this.#change(change.baseGeneration, () => this.#append(record.text, change.author));
  };

  readonly listHistory: FleetAdministration['listHistory'] = (before, limit) => {
    const older = this.#records.filter(({ generation }) => generation < before);
    return Promise.resolve(older.reverse().slice(0, limit));
  };

  readonly setDrain: FleetAdministration['setDrain'] = ({ drain, isDraining }) => {
    const others = this.#drains.filter(
      ({ scope, name }) => scope !== drain.scope || name !== drain.name,
    );
    this.#drains = isDraining ? [...others, drain] : others;
    return Promise.resolve(this.#append(this.#latest.text, drain.author));
  };

  get #latest(): ConfigurationRecord {
    const latest = this.#records.at(-1);
    if (latest === undefined) throw new Error('the in-memory fleet has no configuration');
    return latest;
  }

  #change(base: number, apply: () => ConfigurationRecord): Promise<ConfigurationRecord> {
    if (base === this.#latest.generation) return Promise.resolve(apply());
    const message = `Expected generation ${base}, but ${this.#latest.generation} is in force.`;
    return Promise.reject(new SardinegradeError(ResultCode.GenerationConflict, message));
  }

  #append(text: string, author: string): ConfigurationRecord {
    const generation = this.#records.length + 1;
    const record: ConfigurationRecord = {
      generation,
      text,
      textGeneration: generation,
      drains: this.#drains,
      author,
      changeId: `change-${generation}`,
      atMs: this.#clock.getNowMs(),
    };
    this.#records.push(record);
    return record;
  }
}

const createInMemoryOrders = (clock: Clock): OrderAdministration => {
  let order: AdministeredOrder = {
    workspace: 'rig-desk',
    service: 'booking',
    key: 'bit 17/a',
    state: 'unknown',
    requestId: 'r1',
    owner: 'vm-2',
    acceptedAtMs: clock.getNowMs(),
    audit: [],
  };
  const find: OrderAdministration['show'] = ({ workspace, service, key }) => {
    const isSame = workspace === order.workspace && service === order.service && key === order.key;
    return Promise.resolve(isSame ? order : undefined);
  };
  return {
    list: ({ state }) => {
      const isWanted = state === undefined || state === order.state;
      return Promise.resolve({ orders: isWanted ? [order] : [], next: undefined });
    },
    show: find,
    settle: async (reference, { wasRun, reason, operator }) => {
      if ((await find(reference)) === undefined) {
        throw new SardinegradeError(ResultCode.OrderNotFound, 'No such order.');
      }
      const state = wasRun ? 'done' : 'not_run';
      const entry = { atMs: clock.getNowMs(), by: `operator:${operator}`, event: 'SETTLE', reason };
      order = { ...order, state, audit: [...order.audit, { ...entry, to: state }] };
      return order;
    },
  };
};

/** Administration context with the log output and a settable clock. */
export interface TestContext extends AdministrationContext {
  readonly logLines: string[];
  readonly time: { nowMs: number };
}

/**
 * Creates an in-memory administration context for tests.
 *
 * @returns the context, with the log lines written so far and the current time, which a test may set
 */
export const createTestContext = (): TestContext => {
  const time = { nowMs: 1_000 };
  const clock: Clock = { getNowMs: () => time.nowMs };
  const logLines: string[] = [];
  let changes = 0;
  return {
    time,
    logLines,
    vm: toBranded('vm-1'),
    dataCentre: toBranded('hobart'),
    clock,
    newId: () => `change-id-${(changes += 1)}`,
    logger: createLogger({
      level: LogLevel.Debug,
      format: LogFormat.Json,
      output: { write: (line) => logLines.push(line) },
    }),
    administrators: ADMINISTRATORS,
    fleet: new InMemoryFleet(clock),
    orders: createInMemoryOrders(clock),
    metrics: createMetrics(clock),
    traces: startTracing({ vm: 'vm-1', dataCentre: 'hobart' }).recent,
    journal: createRequestJournal(clock),
    listUpstreamStates: () => [
      { upstream: toBranded('e1'), health: 'healthy', isInUse: true, granted: 3, limit: 8 },
      { upstream: toBranded('e2'), health: 'lost', isInUse: false, granted: 0, limit: 0 },
    ],
    listQueues: () => [{ service: toBranded('counter'), className: toBranded('query'), queued: 5 }],
    isReady: () => true,
  };
};
