/** A set whose values expire. */
export class ExpiringSet<Value extends string> {
  readonly #untilMs = new Map<Value, number>();

  /**
   * Adds a value, or extends its lifetime if it is already in the set; the lifetime is never shortened.
   *
   * @param value - the value to add
   * @param untilMs - when the value expires, in milliseconds since the epoch
   */
  readonly add = (value: Value, untilMs: number): void => {
    const currentUntilMs = this.#untilMs.get(value) ?? 0;
    this.#untilMs.set(value, Math.max(currentUntilMs, untilMs));
  };

  readonly remove = (value: Value): void => {
    this.#untilMs.delete(value);
  };

  /**
   * Checks whether the set contains a value; an expired value is removed.
   *
   * @param value - the value to look up
   * @param nowMs - current time, in milliseconds since the epoch
   * @returns true until the value expires
   */
  readonly has = (value: Value, nowMs: number): boolean => {
    const untilMs = this.#untilMs.get(value);
    if (untilMs === undefined) return false;
    if (untilMs > nowMs) return true;
    this.#untilMs.delete(value);
    return false;
  };
}
