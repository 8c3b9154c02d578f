import { OTHER_LABEL } from './constants.js';

/** Label values, in the order in which the metric declares its labels. */
export type LabelValues = readonly string[];

/** One series: its label values and its accumulated state. */
export interface Series<State> {
  readonly values: LabelValues;
  readonly state: State;
}

const SEPARATOR = '\u0000';

/** The series of one metric. Their number is limited; all label sets beyond the limit share one series. */
export class SeriesMap<State> {
  readonly #series = new Map<string, Series<State>>();
  readonly #limit: number;
  readonly #createState: () => State;
  readonly #onDropped: () => void;

  constructor(limit: number, createState: () => State, onDropped: () => void) {
    this.#limit = limit;
    this.#createState = createState;
    this.#onDropped = onDropped;
  }

  /**
   * Gets the state of a series, which is created if it does not exist.
   *
   * @param values - label values, in declared order
   * @returns the state of the series, or of the shared series beyond the limit
   */
  get(values: LabelValues): State {
    const key = values.join(SEPARATOR);
    const existing = this.#series.get(key);
    if (existing !== undefined) return existing.state;
    if (this.#series.size < this.#limit) return this.#add(key, values);
    this.#onDropped();
    const sharedValues = values.map(() => OTHER_LABEL);
    const sharedKey = sharedValues.join(SEPARATOR);
    return this.#series.get(sharedKey)?.state ?? this.#add(sharedKey, sharedValues);
  }

  /**
   * Finds the state of a series without creating it.
   *
   * @param values - label values, in declared order
   * @returns the state, or undefined if the series does not exist
   */
  find(values: LabelValues): State | undefined {
    return this.#series.get(values.join(SEPARATOR))?.state;
  }

  /** @returns all series, in the order of their creation */
  list(): Iterable<Series<State>> {
    return this.#series.values();
  }

  /** @returns the number of series, including the shared one */
  get size(): number {
    return this.#series.size;
  }

  #add(key: string, values: LabelValues): State {
    const state = this.#createState();
    this.#series.set(key, { values, state });
    return state;
  }
}
