import {
  EntryReports,
  ExchangeReply,
  ExchangeRequest,
  QuarantineState,
} from '@sycamorehead/fleet';

/** Time between two rounds of digests and verdicts, in milliseconds. */
const ROUND_MS = 100;

/**
 * Control instances that exchange digests in memory. The first one stands for the leader: what its pool
 * convicts is in quarantine everywhere a round later.
 */
export class FakeControls {
  private controls: readonly EntryReports[] = [];
  private starts = 0;
  private quarantine: QuarantineState = {
    revision: 0,
    combinations: [],
  };
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly count: number,
    /** Returns whether a message is lost. */
    private readonly isLost: () => boolean,
    private readonly onQuarantine: (state: QuarantineState) => void,
  ) {
    this.restart();
  }

  /** Replaces all instances by new ones, which know only what the log has stored. */
  restart(): void {
    const {count} = this;
    this.starts += 1;
    this.controls = Array.from(
      {length: count},
      (_, index) =>
        new EntryReports({
          instance: `c${index}`,
          incarnation: `c${index} ${this.starts}`,
          countControls: () => count,
          listQuarantined: () => this.quarantine.combinations,
        }),
    );
  }

  start(): void {
    this.timer = setInterval(() => this.runRound(), ROUND_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Ends all quarantines, as an operator does. */
  release(): void {
    const {revision} = this.quarantine;
    this.quarantine = {revision: revision + 1, combinations: []};
    this.onQuarantine(this.quarantine);
  }

  /** The prompt segments in quarantine. */
  get state(): QuarantineState {
    return this.quarantine;
  }

  /** Answers an entry's report; the request or the reply may be lost. */
  async exchange(
    index: number,
    request: ExchangeRequest,
  ): Promise<ExchangeReply> {
    const control = this.controls[index % this.controls.length];
    if (!control || this.isLost()) throw new Error('request lost');
    const reply = control.exchange(request);
    if (this.isLost()) throw new Error('reply lost');
    return Promise.resolve(reply);
  }

  private runRound(): void {
    for (const sender of this.controls) {
      const digest = sender.describeDigest();
      for (const receiver of this.controls) {
        if (receiver === sender || this.isLost()) continue;
        receiver.acceptDigest(digest);
      }
    }
    const {revision, combinations} = this.quarantine;
    const known = new Set(combinations.map(segments => segments.join(',')));
    const convicted = (this.controls[0]?.crashes.listConvicted() ?? []).filter(
      ({segments}) => !known.has(segments.join(',')),
    );
    if (convicted.length === 0) return;
    this.quarantine = {
      revision: revision + 1,
      combinations: [
        ...combinations,
        ...convicted.map(({segments}) => segments),
      ],
    };
    this.onQuarantine(this.quarantine);
  }
}
