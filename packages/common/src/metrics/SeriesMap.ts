import { OTHER_LABEL } from './constants.js';

/** The values of the labels that a metric declares, in its order. */
export type LabelValues = readonly string[];

/** One series: its label values and its state. */
export interface Series<State> {
  readonly values: LabelValues;
  readonly state: State;
}

const SEPARATOR = '\u0000';

/** The series of one metric, bounded in number: label sets beyond the bound share one series. */
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
   * Gets the state of a series, made where it does not exist yet.
   *
   * @param values - the label values
   * @returns the state of the series, or of the shared one beyond the bound
   */
  get(values: LabelValues): State {
    const key = values.join(SEPARATOR);
    const known = this.#series.get(key);
    if (known !== undefined) return known.state;
    if (this.#series.size < this.#limit) return this.#add(key, values);
    this.#onDropped();
    const others = values.map(() => OTHER_LABEL);
    const sharedKey = others.join(SEPARATOR);
    return this.#series.get(sharedKey)?.state ?? this.#add(sharedKey, others);
  }

  /**
   * Finds the state of a series without making it.
   *
   * @param values - the label values
   * @returns the state, or undefined where the series does not exist
   */
  find(values: LabelValues): State | undefined {
    return this.#series.get(values.join(SEPARATOR))?.state;
  }

  /** @returns all series */
  list(): Iterable<Series<State>> {
    return this.#series.values();
  }

  /** @returns the number of series */
  get size(): number {
    return this.#series.size;
  }

  #add(key: string, values: LabelValues): State {
    const state = this.#createState();
    this.#series.set(key, { values, state });
    return state;
  }
}
