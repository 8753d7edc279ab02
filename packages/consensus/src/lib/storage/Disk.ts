/**
 * The disk interface of the log: a flat folder of files. Tests replace it with a fake.
 *
 * @public
 */

/** A file that is open for appending. @public */
export interface AppendFile {
  append(data: Buffer): Promise<void>;
  /** Returns once everything appended so far would survive a power failure. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** One folder of files. Every method rejects if the disk fails. @public */
export interface Disk {
  list(): Promise<string[]>;
  read(name: string): Promise<Buffer>;
  /**
   * Returns once the content of some files, the names of all files and the folder itself would
   * survive a power failure. A process that was killed may have left them unsynced.
   */
  sync(names: readonly string[]): Promise<void>;
  /** Creates an empty file whose name survives a power failure. */
  create(name: string): Promise<AppendFile>;
  /** Opens an existing file to append to it. */
  open(name: string): Promise<AppendFile>;
  /** Truncates a file to a length, durably. */
  truncate(name: string, length: number): Promise<void>;
  /** Replaces a whole file atomically, even in case of a power failure. */
  replace(name: string, data: Buffer): Promise<void>;
  remove(name: string): Promise<void>;
  /** Removes all files, as far as possible. */
  clear(): Promise<void>;
}
