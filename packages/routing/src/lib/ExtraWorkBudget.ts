/**
 * Limits extra work, such as hedges and retries, to a share of the admitted work, and to none
 * under overload.
 *
 * @public
 */
export class ExtraWorkBudget {
  private left: number;
  private isSuspended = false;

  constructor(
    private readonly share: number,
    private readonly burstUnits: number,
  ) {
    this.left = burstUnits;
  }

  // Commands.

  /** Adds a share of admitted work to the budget. */
  refill(units: number): void {
    if (this.isSuspended) return;
    this.left = Math.min(this.burstUnits, this.left + units * this.share);
  }

  /** Takes units from the budget if it has that many left, and returns whether it had. */
  take(units: number): boolean {
    if (this.isSuspended || units > this.left) return false;
    this.left -= units;
    return true;
  }

  /** Suspends the budget under overload and resumes it afterwards. */
  setSuspended(isOverloaded: boolean): void {
    this.isSuspended = isOverloaded;
  }
}
