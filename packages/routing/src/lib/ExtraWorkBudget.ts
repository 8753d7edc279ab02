/** Bounds work beyond what callers asked for to a share of it; nothing is left under overload. @public */
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

  /** Earns budget from work that a caller asked for. */
  refill(units: number): void {
    if (this.isSuspended) return;
    this.left = Math.min(this.burstUnits, this.left + units * this.share);
  }

  /** Takes units where that many are left. */
  take(units: number): boolean {
    if (this.isSuspended || units > this.left) return false;
    this.left -= units;
    return true;
  }

  /** Switches the budget off under overload and on again after it. */
  setSuspended(isOverloaded: boolean): void {
    this.isSuspended = isOverloaded;
  }
}
