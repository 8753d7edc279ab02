import {request} from 'undici';
import type {Announcement} from '@sycamorehead/schema';

const ANNOUNCE_INTERVAL_MS = 1_000;
const ANNOUNCE_TIMEOUT_MS = 900;

/** Supplies the announcement without the fields that the Announcer fills in. @public */
export type AnnouncementSource = () => Omit<
  Announcement,
  'sequence' | 'state' | 'generation'
>;

/** Settings of an Announcer. @public */
export interface AnnouncerOptions {
  /** Base URLs of the entries; announcements go to them in turn, as if through a load balancer. */
  readonly entries: readonly string[];
  readonly serverKey: string;
  readonly source: AnnouncementSource;
  readonly generation?: number;
}

/** Announces a stand-in backend server to the entries once per second. @public */
export class Announcer {
  private sequence = 0;
  private entryIndex = 0;
  private state: Announcement['state'] = 'ready';
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: AnnouncerOptions) {}

  /** Sends an announcement immediately and then every second. */
  async start(): Promise<void> {
    await this.announce();
    this.timer = setInterval(() => void this.announce(), ANNOUNCE_INTERVAL_MS);
    this.timer.unref();
  }

  /** Announces that the server is leaving; later announcements repeat this state. */
  async leave(): Promise<void> {
    this.state = 'leaving';
    await this.announce();
  }

  /** Stops announcing without a final announcement, like a crash. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Sends one announcement; tries the other entries if one does not accept it. */
  async announce(): Promise<void> {
    const {entries, source, generation} = this.options;
    this.sequence += 1;
    const announcement: Announcement = {
      ...source(),
      generation: generation ?? 1,
      sequence: this.sequence,
      state: this.state,
    };
    for (let attempt = 0; attempt < entries.length; attempt++) {
      this.entryIndex += 1;
      const entry = entries[this.entryIndex % entries.length];
      if (entry && (await this.putAnnouncement(entry, announcement))) return;
    }
  }

  private async putAnnouncement(
    entry: string,
    announcement: Announcement,
  ): Promise<boolean> {
    try {
      const {statusCode, body} = await request(
        `${entry}/v1/backend-servers/${announcement.id}`,
        {
          method: 'PUT',
          headersTimeout: ANNOUNCE_TIMEOUT_MS,
          headers: {
            authorization: `Bearer ${this.options.serverKey}`,
            'content-type': 'application/json',
          },
          body: JSON.stringify(announcement),
        },
      );
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }
}
