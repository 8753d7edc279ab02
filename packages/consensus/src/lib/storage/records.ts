/**
 * Checksummed records in the files of the log. A record consists of a header of four big-endian
 * 32-bit numbers (magic number, body length, body checksum, checksum of the preceding three) and a
 * JSON body. The header has its own checksum, so that a damaged length is not mistaken for a
 * truncated record.
 *
 * @internal
 */
import {crc32} from 'node:zlib';
import {SycamoreheadError} from '@sycamorehead/schema';

const MAGIC = 0x53594352;
const HEADER_BYTES = 16;
const CHECKED_HEADER_BYTES = 12;
const SECTOR_BYTES = 512;

/** The records of one file. @internal */
export interface DecodedRecords {
  readonly bodies: readonly string[];
  /** Length of the file up to the end of the last complete record. */
  readonly validBytes: number;
}

/** Encodes one record. @internal */
export function encodeRecord(body: string | Buffer): Buffer {
  const data = typeof body === 'string' ? Buffer.from(body, 'utf8') : body;
  const {length} = data;
  const record = Buffer.allocUnsafe(HEADER_BYTES + length);
  data.copy(record, HEADER_BYTES);
  record.writeUInt32BE(MAGIC, 0);
  record.writeUInt32BE(length, 4);
  record.writeUInt32BE(crc32(record.subarray(HEADER_BYTES)), 8);
  record.writeUInt32BE(crc32(record.subarray(0, CHECKED_HEADER_BYTES)), 12);
  return record;
}

/**
 * Reads the records of a file. If `mayBeTorn` is set, a last record whose write was interrupted by
 * a power failure is ignored. Any other damage is an error, since it affects synced data.
 *
 * @throws SycamoreheadError `storage_failed`.
 * @internal
 */
export function readRecords(
  file: string,
  data: Buffer,
  mayBeTorn: boolean,
): DecodedRecords {
  const bodies: string[] = [];
  let offset = 0;
  while (offset < data.length) {
    const body = readRecord(data, offset);
    if (body === undefined) {
      if (mayBeTorn && isTorn(data, offset)) break;
      throw new SycamoreheadError(
        'storage_failed',
        `${file}: damaged at byte ${offset} of ${data.length}`,
      );
    }
    bodies.push(body.toString('utf8'));
    offset += HEADER_BYTES + body.length;
  }
  return {bodies, validBytes: offset};
}

function isHeaderValid(data: Buffer, offset: number): boolean {
  if (data.length - offset < HEADER_BYTES) return false;
  const checked = data.subarray(offset, offset + CHECKED_HEADER_BYTES);
  return (
    data.readUInt32BE(offset) === MAGIC &&
    data.readUInt32BE(offset + CHECKED_HEADER_BYTES) === crc32(checked)
  );
}

function readRecord(data: Buffer, offset: number): Buffer | undefined {
  if (!isHeaderValid(data, offset)) return undefined;
  const start = offset + HEADER_BYTES;
  const end = start + data.readUInt32BE(offset + 4);
  if (end > data.length) return undefined;
  const body = data.subarray(start, end);
  return crc32(body) === data.readUInt32BE(offset + 8) ? body : undefined;
}

/**
 * Returns whether an invalid record is a torn write: either the file ends within the record, or the
 * file has its full length but a sector of the record was never written. Writes run one at a time,
 * so only the last record can be torn.
 */
function isTorn(data: Buffer, offset: number): boolean {
  if (data.length - offset < HEADER_BYTES) return true;
  if (!isHeaderValid(data, offset)) return hasEmptySector(data, offset);
  const end = offset + HEADER_BYTES + data.readUInt32BE(offset + 4);
  if (end > data.length) return true;
  return end === data.length && hasEmptySector(data, offset);
}

/**
 * Returns whether a sector contains only zeros. JSON contains no zero bytes, so such a sector was
 * never written.
 */
function hasEmptySector(data: Buffer, offset: number): boolean {
  let start = offset;
  while (start < data.length) {
    const end = start - (start % SECTOR_BYTES) + SECTOR_BYTES;
    if (data.subarray(start, end).every(byte => byte === 0)) return true;
    start = end;
  }
  return false;
}
