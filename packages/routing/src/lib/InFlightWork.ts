/** Counts the unfinished requests that this entry has sent to each backend server. @public */
export class InFlightWork {
  private readonly counts = new Map<string, number>();

  /** Records that a request was dispatched to a server. */
  begin(server: string): void {
    this.counts.set(server, this.count(server) + 1);
  }

  /** Records that a request to a server has finished. */
  end(server: string): void {
    const remaining = this.count(server) - 1;
    if (remaining > 0) this.counts.set(server, remaining);
    else this.counts.delete(server);
  }

  /** Counts this entry's unfinished requests on a server. */
  count(server: string): number {
    return this.counts.get(server) ?? 0;
  }
}
