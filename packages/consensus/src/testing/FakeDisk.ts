import type {AppendFile, Disk} from '../lib/storage/Disk.js';

interface FakeFile {
  synced: Buffer;
  unsynced: Buffer;
  /** What a power failure may restore until the folder is synced: the file that this one replaced. */
  replaced?: FakeFile | 'none';
}

/** Probability that a power failure undoes a replacement whose folder was not synced. */
const NAME_LOSS_RATE = 0.5;

/** The fault that the disk simulates. @internal */
export type DiskFault =
  'none' | 'sync_fails' | 'sync_stalls' | 'folder_sync_stalls' | 'full';

/** A kind of operation that a full disk may refuse. @internal */
export type DiskWrite = 'create' | 'append' | 'replace' | 'sync' | 'truncate';

/** All kinds of operations that a full disk may refuse. @internal */
export const DISK_WRITES: readonly DiskWrite[] = [
  'create',
  'append',
  'replace',
  'sync',
  'truncate',
];

/**
 * A disk in memory. A power failure loses a random part of what was not synced. After a crash the
 * disk never completes another operation, as the process that used it has ended.
 *
 * @internal
 */
export class FakeDisk implements Disk {
  fault: DiskFault = 'none';
  /** The operations that a full disk refuses. */
  refused: readonly DiskWrite[] = DISK_WRITES;
  /** Bytes that a full disk still takes: an append that does not fit is cut short. */
  freeBytes = 0;
  syncs = 0;
  /** Files that are open for appending. */
  openFiles = 0;
  /** Largest number of files that were open at once; a second one has a second writer. */
  maxOpenFiles = 0;
  private isCrashed = false;

  constructor(
    private readonly syncMs = 0,
    private readonly files = new Map<string, FakeFile>(),
  ) {}

  /** Simulates a power failure and returns the disk that the next process finds. */
  abort(random: () => number): FakeDisk {
    this.isCrashed = true;
    const files = new Map<string, FakeFile>();
    for (const [name, file] of this.files) {
      const kept = pickDurable(file, random);
      if (kept) files.set(name, {synced: kept, unsynced: Buffer.alloc(0)});
    }
    return new FakeDisk(this.syncMs, files);
  }

  /**
   * Kills the process that uses the disk and returns the disk that the next process finds. It has
   * all data, but a power failure may still lose what was not synced.
   */
  abortProcess(): FakeDisk {
    this.isCrashed = true;
    const copies = [...this.files].map(([name, file]): [string, FakeFile] => [
      name,
      {...file},
    ]);
    return new FakeDisk(this.syncMs, new Map(copies));
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

  async sync(names: readonly string[]): Promise<void> {
    await this.waitForSync();
    for (const name of names) syncContent(this.find(name));
    for (const file of this.files.values()) delete file.replaced;
  }

  async create(name: string): Promise<AppendFile> {
    await this.checkAlive();
    if (this.files.has(name)) throw createError('EEXIST', name);
    this.checkRefused('create');
    this.files.set(name, {synced: Buffer.alloc(0), unsynced: Buffer.alloc(0)});
    return this.open(name);
  }

  async open(name: string): Promise<AppendFile> {
    await this.checkAlive();
    const file = this.find(name);
    let isOpen = true;
    this.openFiles += 1;
    this.maxOpenFiles = Math.max(this.maxOpenFiles, this.openFiles);
    return {
      append: async data => {
        await this.checkAlive();
        const written = this.takeSpace('append', data.length);
        file.unsynced = Buffer.concat([
          file.unsynced,
          data.subarray(0, written),
        ]);
        if (written < data.length) throw createError('ENOSPC', 'write');
      },
      sync: async () => {
        await this.waitForSync();
        syncContent(file);
      },
      close: async () => {
        await this.checkAlive();
        if (!isOpen) return;
        isOpen = false;
        this.openFiles -= 1;
      },
    };
  }

  async truncate(name: string, length: number): Promise<void> {
    this.checkRefused('truncate');
    await this.waitForSync();
    const file = this.find(name);
    file.synced = Buffer.from(file.synced.subarray(0, length));
    file.unsynced = Buffer.alloc(0);
  }

  async replace(name: string, data: Buffer): Promise<void> {
    await this.checkAlive();
    const written = this.takeSpace('replace', data.length);
    if (written < data.length) throw createError('ENOSPC', 'write');
    await this.waitForSync();
    const file: FakeFile = {
      synced: Buffer.from(data),
      unsynced: Buffer.alloc(0),
      replaced: this.files.get(name) ?? 'none',
    };
    this.files.set(name, file);
    if (this.fault === 'folder_sync_stalls') await new Promise(() => {});
    await this.waitForSync();
    delete file.replaced;
  }

  async remove(name: string): Promise<void> {
    await this.checkAlive();
    this.files.delete(name);
  }

  async clear(): Promise<void> {
    await this.checkAlive();
    this.files.clear();
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
    if (this.fault === 'sync_stalls') await new Promise(() => {});
    if (this.fault === 'sync_fails') {
      throw createError('EIO', 'fsync');
    }
    this.checkRefused('sync');
    this.syncs += 1;
  }

  private isRefused(write: DiskWrite): boolean {
    return this.fault === 'full' && this.refused.includes(write);
  }

  private checkRefused(write: DiskWrite): void {
    if (this.isRefused(write)) throw createError('ENOSPC', write);
  }

  /** Takes space for some bytes and returns how many of them fit. */
  private takeSpace(write: DiskWrite, bytes: number): number {
    if (!this.isRefused(write)) return bytes;
    const taken = Math.min(bytes, this.freeBytes);
    this.freeBytes -= taken;
    return taken;
  }

  private find(name: string): FakeFile {
    const file = this.files.get(name);
    if (!file) throw createError('ENOENT', name);
    return file;
  }
}

/** Creates an error as the file system throws it, with its code. */
function createError(code: string, detail: string): Error {
  return Object.assign(new Error(`${code}: ${detail}`), {code});
}

function syncContent(file: FakeFile): void {
  file.synced = Buffer.concat([file.synced, file.unsynced]);
  file.unsynced = Buffer.alloc(0);
}

/** Returns the content of a file after a power failure, or undefined if the file is gone. */
function pickDurable(
  {synced, unsynced, replaced}: FakeFile,
  random: () => number,
): Buffer | undefined {
  const isNameLost = replaced !== undefined && random() < NAME_LOSS_RATE;
  if (isNameLost) {
    return replaced === 'none' ? undefined : pickDurable(replaced, random);
  }
  const kept = Math.floor(random() * (unsynced.length + 1));
  return Buffer.concat([synced, unsynced.subarray(0, kept)]);
}
