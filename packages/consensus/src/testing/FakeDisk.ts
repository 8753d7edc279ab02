import type {AppendFile, Disk} from '../lib/storage/Disk.js';

interface FakeFile {
  synced: Buffer;
  unsynced: Buffer;
}

/** The fault that the disk simulates. @internal */
export type DiskFault = 'none' | 'sync_fails' | 'full';

/**
 * A disk in memory. A crash loses a random part of the data that was not synced. A crashed disk
 * never completes another operation, as the process that used it has ended.
 *
 * @internal
 */
export class FakeDisk implements Disk {
  fault: DiskFault = 'none';
  syncs = 0;
  private isCrashed = false;

  constructor(
    private readonly syncMs = 0,
    private readonly files = new Map<string, FakeFile>(),
  ) {}

  /** Crashes this disk and returns a disk with the content that the next process finds. */
  abort(random: () => number): FakeDisk {
    this.isCrashed = true;
    const files = new Map<string, FakeFile>();
    for (const [name, {synced, unsynced}] of this.files) {
      const kept = Math.floor(random() * (unsynced.length + 1));
      const data = Buffer.concat([synced, unsynced.subarray(0, kept)]);
      files.set(name, {synced: data, unsynced: Buffer.alloc(0)});
    }
    return new FakeDisk(this.syncMs, files);
  }

  /** Changes the content of a file, to simulate damage. */
  change(name: string, change: (data: Buffer) => Buffer): void {
    const file = this.find(name);
    file.synced = change(Buffer.from(file.synced));
  }

  async list(): Promise<string[]> {
    await this.checkAlive();
    return [...this.files.keys()].sort();
  }

  async read(name: string): Promise<Buffer> {
    await this.checkAlive();
    const {synced, unsynced} = this.find(name);
    return Buffer.concat([synced, unsynced]);
  }

  async create(name: string): Promise<AppendFile> {
    await this.checkAlive();
    if (this.files.has(name)) throw new Error(`EEXIST: ${name}`);
    this.checkSpace();
    this.files.set(name, {synced: Buffer.alloc(0), unsynced: Buffer.alloc(0)});
    return this.open(name);
  }

  async open(name: string): Promise<AppendFile> {
    await this.checkAlive();
    const file = this.find(name);
    return {
      append: async data => {
        await this.checkAlive();
        this.checkSpace();
        file.unsynced = Buffer.concat([file.unsynced, data]);
      },
      sync: async () => {
        await this.waitForSync();
        file.synced = Buffer.concat([file.synced, file.unsynced]);
        file.unsynced = Buffer.alloc(0);
      },
      close: () => this.checkAlive(),
    };
  }

  async truncate(name: string, length: number): Promise<void> {
    await this.waitForSync();
    const file = this.find(name);
    file.synced = Buffer.from(file.synced.subarray(0, length));
    file.unsynced = Buffer.alloc(0);
  }

  async replace(name: string, data: Buffer): Promise<void> {
    await this.checkAlive();
    this.checkSpace();
    await this.waitForSync();
    const copy = Buffer.from(data);
    this.files.set(name, {synced: copy, unsynced: Buffer.alloc(0)});
  }

  async remove(name: string): Promise<void> {
    await this.checkAlive();
    this.files.delete(name);
  }

  private async checkAlive(): Promise<void> {
    if (this.isCrashed) await new Promise(() => {});
  }

  private async waitForSync(): Promise<void> {
    await this.checkAlive();
    if (this.syncMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.syncMs));
    }
    await this.checkAlive();
    if (this.fault === 'sync_fails') throw new Error('EIO: sync failed');
    this.syncs += 1;
  }

  private checkSpace(): void {
    if (this.fault === 'full') throw new Error('ENOSPC: no space left');
  }

  private find(name: string): FakeFile {
    const file = this.files.get(name);
    if (!file) throw new Error(`ENOENT: ${name}`);
    return file;
  }
}
