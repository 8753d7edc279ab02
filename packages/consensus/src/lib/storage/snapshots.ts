import {SycamoreheadError} from '@sycamorehead/schema';
import type {Membership, Snapshot} from '../logTypes.js';
import type {Disk} from './Disk.js';
import {encodeRecord, readRecords} from './records.js';

const SNAPSHOT_NAME = /^snapshot-(\d{16})-(\d{16})$/;
const POSITION_DIGITS = 16;

interface SnapshotHeader {
  readonly index: number;
  readonly term: number;
  readonly members: Membership;
}

/** Formats the name of a snapshot file. Names sort by the snapshot's position. @internal */
export function formatSnapshotName({
  index,
  term,
}: {
  index: number;
  term: number;
}): string {
  const formatPart = (value: number) =>
    String(value).padStart(POSITION_DIGITS, '0');
  return `snapshot-${formatPart(index)}-${formatPart(term)}`;
}

/** Encodes a snapshot file as a header record and a data record. @internal */
export function encodeSnapshot({index, term, members, data}: Snapshot): Buffer {
  const header: SnapshotHeader = {index, term, members};
  return Buffer.concat([
    encodeRecord(JSON.stringify(header)),
    encodeRecord(data),
  ]);
}

/** Reads the newest snapshot in a folder, if any. @internal */
export async function readSnapshot(
  disk: Disk,
  names: readonly string[],
): Promise<Snapshot | undefined> {
  const newest = names
    .filter(name => SNAPSHOT_NAME.test(name))
    .sort()
    .at(-1);
  if (!newest) return undefined;
  const {bodies} = readRecords(newest, await disk.read(newest), false);
  const [header, data] = bodies;
  if (header === undefined || data === undefined) {
    throw new SycamoreheadError('storage_failed', `${newest}: incomplete`);
  }
  const {index, term, members} = JSON.parse(header) as SnapshotHeader;
  return {index, term, members, data: Buffer.from(data, 'utf8')};
}
