/**
 * Runs pieces of asynchronous work one after another.
 *
 * @internal
 */
export class Mutex {
  private tail: Promise<unknown> = Promise.resolve();

  /** Runs the work once all earlier work has ended. */
  run<Result>(work: () => Promise<Result>): Promise<Result> {
    const result = this.tail.then(work);
    this.tail = result.catch(() => {});
    return result;
  }
}
