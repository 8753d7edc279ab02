/**
 * Runs asynchronous functions one at a time, in the order in which they were submitted.
 *
 * @internal
 */
export class Mutex {
  private tail: Promise<unknown> = Promise.resolve();

  /** Runs the function once all earlier ones have settled. */
  run<Result>(work: () => Promise<Result>): Promise<Result> {
    const result = this.tail.then(work);
    this.tail = result.catch(() => {});
    return result;
  }
}
