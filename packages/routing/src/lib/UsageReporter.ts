import type {BackendServerDirectory} from '@sycamorehead/membership';
import type {ServerUsage, UsageReport} from './PeerUsage.js';
import type {Router} from './Router.js';

/** Digits kept of what is reported. */
const PRECISION = 10;

/** What a UsageReporter works with. @public */
export interface UsageReporterOptions {
  readonly entry: string;
  readonly directory: BackendServerDirectory;
  readonly router: Pick<Router, 'context' | 'countQueued'>;
}

/**
 * Builds this entry's usage report and takes those of its peers.
 *
 * @public
 */
export class UsageReporter {
  private sequence = 0;

  constructor(private readonly parts: UsageReporterOptions) {}

  // Commands.

  /** Takes a peer's report and brings up to date what depends on all entries. */
  receive(report: UsageReport): void {
    this.parts.router.context.peers.receive(report);
    this.update();
  }

  /** Brings up to date what depends on all entries. */
  update(): void {
    const {directory, router} = this.parts;
    const {context} = router;
    let shortRunning = 0;
    for (const {announcement} of directory.listReady()) {
      if (announcement.kind !== 'engine') continue;
      const own = context.tracker.readWork(announcement.id);
      const others = context.peers.sumWork(announcement.id);
      const short = own.count - own.long + others.count - others.long;
      shortRunning += Math.min(short, announcement.slots);
      context.speeds.update(announcement.id);
    }
    context.reserve.update(shortRunning);
    context.meter.prune();
  }

  /** Builds the next report. */
  build(): UsageReport {
    const {entry, router} = this.parts;
    const {context} = router;
    this.sequence += 1;
    return {
      entry,
      sequence: this.sequence,
      queued: router.countQueued(),
      servers: this.listServers(),
      customers: context.meter.listCustomers().map(customer => {
        const {requests, tokens, units} = context.meter.read(customer);
        return {
          customer,
          requests: trimDigits(requests),
          tokens: trimDigits(tokens),
          units: trimDigits(units),
        };
      }),
    };
  }

  private listServers(): ServerUsage[] {
    const {directory, router} = this.parts;
    const {context} = router;
    return directory
      .listReady()
      .filter(({announcement}) => announcement.kind === 'engine')
      .map(({announcement: {id}}) => ({
        server: id,
        ...context.tracker.readWork(id),
        speed: context.speeds.readOwn(id),
      }))
      .filter(({count, speed}) => count > 0 || speed !== undefined);
  }
}

function trimDigits(value: number): number {
  return Math.round(value * PRECISION) / PRECISION;
}
