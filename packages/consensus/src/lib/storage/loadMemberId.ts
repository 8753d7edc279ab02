import {randomUUID} from 'node:crypto';
import {SycamoreheadError} from '@sycamorehead/schema';
import type {Disk} from './Disk.js';
import {encodeRecord, readRecords} from './records.js';

const IDENTITY_FILE = 'identity';

interface Identity {
  readonly instance: string;
  readonly disk: string;
}

/**
 * Loads the member id of an instance from its disk, or creates one on an empty disk. A wiped disk
 * gets a new id, so that the instance can neither vote nor acknowledge entries as the member that
 * lost its data. If a new id is created, `diskId` is its second part.
 *
 * @throws SycamoreheadError `storage_failed` if the disk belongs to another instance or contains
 * files without an identity.
 * @internal
 */
export async function loadMemberId(
  disk: Disk,
  instance: string,
  diskId: string = randomUUID(),
): Promise<string> {
  try {
    const names = await disk.list();
    if (!names.includes(IDENTITY_FILE)) {
      if (names.length > 0)
        throw new Error('the disk contains files but no identity file');
      return await createMemberId(disk, instance, diskId);
    }
    const data = await disk.read(IDENTITY_FILE);
    const {bodies} = readRecords(IDENTITY_FILE, data, false);
    const identity = JSON.parse(bodies[0] ?? 'null') as Identity;
    if (identity.instance !== instance) {
      throw new Error(`the disk belongs to instance ${identity.instance}`);
    }
    return `${instance}/${identity.disk}`;
  } catch (error) {
    if (error instanceof SycamoreheadError) throw error;
    throw new SycamoreheadError('storage_failed', String(error), {
      cause: error,
    });
  }
}

async function createMemberId(
  disk: Disk,
  instance: string,
  diskId: string,
): Promise<string> {
  const identity: Identity = {instance, disk: diskId};
  await disk.replace(IDENTITY_FILE, encodeRecord(JSON.stringify(identity)));
  return `${instance}/${identity.disk}`;
}
