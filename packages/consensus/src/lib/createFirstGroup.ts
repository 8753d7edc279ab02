import {randomUUID} from 'node:crypto';
import {SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {ConsensusTransport} from './consensusMessages.js';
import type {Member} from './logTypes.js';
import type {RaftNode} from './RaftNode.js';

const log = createLogger('consensus');

const RETRY_MS = 200;

/** Options of createFirstGroup. @public */
export interface FirstGroupOptions {
  readonly node: RaftNode;
  readonly transport: ConsensusTransport;
  /** Peer addresses of the first voters by instance name, including this instance. */
  readonly addresses: Readonly<Record<string, string>>;
  /** Time allowed for every instance to answer, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Creates the group at the first start, once every listed instance has answered that it belongs
 * to no group. If one already belongs to a group, the disk of this instance was wiped or is new:
 * no group is created, and an operator has to add this instance as a member.
 *
 * @throws SycamoreheadError `settings_invalid` if a group exists, `timeout` if an instance does
 * not answer.
 * @example
 * ```ts
 * await createFirstGroup({node, transport, addresses, timeoutMs: 60_000});
 * ```
 * @public
 */
export async function createFirstGroup(
  options: FirstGroupOptions,
): Promise<void> {
  const deadline = performance.now() + options.timeoutMs;
  while (options.node.getIdentity().group === '') {
    const members = await readIdentities(options);
    if (members) {
      await options.node.createGroup(randomUUID(), members);
      return;
    }
    if (performance.now() > deadline) {
      throw new SycamoreheadError(
        'timeout',
        'not every instance of the first group answers',
      );
    }
    await new Promise(resolve => setTimeout(resolve, RETRY_MS));
  }
}

async function readIdentities(
  options: FirstGroupOptions,
): Promise<Member[] | undefined> {
  const members: Member[] = [];
  for (const [instance, address] of Object.entries(options.addresses)) {
    const identity = await readIdentity(options, instance, address);
    if (!identity) return undefined;
    if (identity.group !== '') {
      throw new SycamoreheadError(
        'settings_invalid',
        `${instance} belongs to a group already; add this instance with 'syc members add' instead`,
      );
    }
    members.push({id: identity.id, instance, address, role: 'voter'});
  }
  return members;
}

async function readIdentity(
  {node, transport}: FirstGroupOptions,
  instance: string,
  address: string,
) {
  const own = node.getIdentity();
  if (own.instance === instance) return own;
  try {
    return await transport.readIdentity(address, node.shard);
  } catch (error) {
    log('instance_unreachable', {instance, error: String(error)});
    return undefined;
  }
}
