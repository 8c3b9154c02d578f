/** Facts that hold for a while, by subject. */
export class FactTable<Subject extends string> {
  readonly #untilMs = new Map<Subject, number>();

  /**
   * Adds a fact, or prolongs it.
   *
   * @param subject - what it is about
   * @param untilMs - when it ends to hold, in milliseconds since the epoch
   */
  readonly add = (subject: Subject, untilMs: number): void => {
    const known = this.#untilMs.get(subject) ?? 0;
    this.#untilMs.set(subject, Math.max(known, untilMs));
  };

  readonly remove = (subject: Subject): void => {
    this.#untilMs.delete(subject);
  };

  /**
   * Whether a fact holds.
   *
   * @param subject - what it is about
   * @param nowMs - the present
   * @returns true while it holds
   */
  readonly has = (subject: Subject, nowMs: number): boolean => {
    const untilMs = this.#untilMs.get(subject);
    if (untilMs === undefined) return false;
    if (untilMs > nowMs) return true;
    this.#untilMs.delete(subject);
    return false;
  };
}
