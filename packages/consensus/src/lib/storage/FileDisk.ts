import {mkdir, open, readFile, readdir, rename, rm} from 'node:fs/promises';
import type {FileHandle} from 'node:fs/promises';
import path from 'node:path';
import type {AppendFile, Disk} from './Disk.js';

const TEMPORARY_SUFFIX = '.tmp';

/**
 * A Disk backed by a folder of the file system.
 *
 * @public
 */
export class FileDisk implements Disk {
  private isFolderCreated = false;

  constructor(private readonly folder: string) {}

  async list(): Promise<string[]> {
    await this.ensureFolder();
    const names = await readdir(this.folder);
    return names.filter(name => !name.endsWith(TEMPORARY_SUFFIX)).sort();
  }

  async read(name: string): Promise<Buffer> {
    return readFile(this.resolvePath(name));
  }

  async sync(names: readonly string[]): Promise<void> {
    for (const name of names) await syncPath(this.resolvePath(name));
    await syncPath(this.folder);
    // The process that created the folder may have been killed before it synced the parent.
    await syncPath(path.dirname(path.resolve(this.folder)));
  }

  async create(name: string): Promise<AppendFile> {
    await this.ensureFolder();
    const handle = await open(this.resolvePath(name), 'ax');
    try {
      await syncPath(this.folder);
    } catch (error) {
      await handle.close();
      throw error;
    }
    return wrapHandle(handle);
  }

  async open(name: string): Promise<AppendFile> {
    return wrapHandle(await open(this.resolvePath(name), 'a'));
  }

  async truncate(name: string, length: number): Promise<void> {
    const handle = await open(this.resolvePath(name), 'r+');
    try {
      await handle.truncate(length);
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  async replace(name: string, data: Buffer): Promise<void> {
    await this.ensureFolder();
    const temporary = this.resolvePath(name + TEMPORARY_SUFFIX);
    try {
      await writeWhole(temporary, data);
      await rename(temporary, this.resolvePath(name));
    } catch (error) {
      // On a full disk, what was written would hold the space that is missing.
      await rm(temporary, {force: true}).catch(() => {});
      throw error;
    }
    await syncPath(this.folder);
  }

  async remove(name: string): Promise<void> {
    await rm(this.resolvePath(name), {force: true});
    await syncPath(this.folder);
  }

  async clear(): Promise<void> {
    this.isFolderCreated = false;
    await rm(this.folder, {recursive: true, force: true});
  }

  private resolvePath(name: string): string {
    return path.join(this.folder, name);
  }

  private async ensureFolder(): Promise<void> {
    if (this.isFolderCreated) return;
    const firstCreated = await mkdir(this.folder, {recursive: true});
    if (firstCreated) await this.syncParents(firstCreated);
    await this.removeTemporaries();
    this.isFolderCreated = true;
  }

  /** Removes what the replacements of an earlier process have left, which nothing would overwrite. */
  private async removeTemporaries(): Promise<void> {
    for (const name of await readdir(this.folder)) {
      if (!name.endsWith(TEMPORARY_SUFFIX)) continue;
      await rm(this.resolvePath(name), {force: true});
    }
  }

  /** Syncs the parents of all newly created folders, so that the folder names are durable. */
  private async syncParents(firstCreated: string): Promise<void> {
    let folder = path.resolve(this.folder);
    const top = path.dirname(path.resolve(firstCreated));
    while (folder !== top) {
      folder = path.dirname(folder);
      await syncPath(folder);
    }
  }
}

async function writeWhole(name: string, data: Buffer): Promise<void> {
  const handle = await open(name, 'w');
  try {
    await handle.writeFile(data);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Syncs a file, or the names in a folder. */
async function syncPath(name: string): Promise<void> {
  const handle = await open(name, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

function wrapHandle(handle: FileHandle): AppendFile {
  return {
    async append(data) {
      // writeFile continues after a short write, unlike write.
      await handle.writeFile(data);
    },
    sync: () => handle.datasync(),
    close: () => handle.close(),
  };
}
