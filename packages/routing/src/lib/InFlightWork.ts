/** Work that this entry has given to each backend server and that is not finished. @public */
export class InFlightWork {
  private readonly counts = new Map<string, number>();

  /** Notes that a request was dispatched to a server. */
  begin(server: string): void {
    this.counts.set(server, this.count(server) + 1);
  }

  /** Notes that it is finished. */
  end(server: string): void {
    const left = this.count(server) - 1;
    if (left > 0) this.counts.set(server, left);
    else this.counts.delete(server);
  }

  /** Counts a server's unfinished requests from here. */
  count(server: string): number {
    return this.counts.get(server) ?? 0;
  }
}
