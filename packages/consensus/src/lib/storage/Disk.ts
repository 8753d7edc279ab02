/**
 * What the log needs of a disk: a flat folder of files. A fake takes its place in tests.
 *
 * @public
 */

/** A file open for appending. @public */
export interface AppendFile {
  append(data: Buffer): Promise<void>;
  /** Returns once everything appended so far survives a loss of power. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** One folder of files. Every method rejects where the disk fails. @public */
export interface Disk {
  list(): Promise<string[]>;
  read(name: string): Promise<Buffer>;
  /** Creates an empty file whose name survives a loss of power. */
  create(name: string): Promise<AppendFile>;
  /** Opens an existing file to append to it. */
  open(name: string): Promise<AppendFile>;
  /** Cuts a file to a length, durably. */
  truncate(name: string, length: number): Promise<void>;
  /** Replaces a whole file: after a loss of power it holds either the old or the new content. */
  replace(name: string, data: Buffer): Promise<void>;
  remove(name: string): Promise<void>;
}
