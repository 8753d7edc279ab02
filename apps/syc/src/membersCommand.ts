import {command, option, positional, string, subcommands} from 'cmd-ts';
import type {OperatorClient} from '@sycamorehead/control';
import {SycamoreheadError} from '@sycamorehead/schema';
import {runCommand} from '@sycamorehead/telemetry';

/** Creates an operator client for the given base URLs of control instances. */
export type CreateClient = (urls: string) => OperatorClient;

type Members = Awaited<ReturnType<OperatorClient['listMembers']>>;

const control = option({
  type: string,
  long: 'control',
  env: 'SYC_CONTROL',
  description: 'base URLs of the control instances, separated by commas',
});
const member = positional({
  type: string,
  displayName: 'member',
  description:
    'name of the instance, or its member id if two members share the name',
});
const newInstance = positional({
  type: string,
  displayName: 'NAME=IP:PORT',
  description:
    'name and peer address of the instance to add, which must be running',
});

function parseInstance(text: string): {instance: string; address: string} {
  const match = /^([^=]+)=(.+:\d+)$/.exec(text);
  if (match?.[1] && match[2]) return {instance: match[1], address: match[2]};
  throw new SycamoreheadError(
    'settings_invalid',
    `${text}: expected NAME=IP:PORT`,
  );
}

function showMembers(members: Members): void {
  for (const {instance, role, address, id} of members) {
    console.log(`member=${instance} role=${role} address=${address} id=${id}`);
  }
}

function findMember(members: Members, name: string): Members[number] {
  const found = members.filter(
    ({id, instance}) => id === name || instance === name,
  );
  const [match] = found;
  if (match && found.length === 1) return match;
  const ids = found.map(({id}) => id).join(', ');
  throw new SycamoreheadError(
    match ? 'malformed_request' : 'not_found',
    match ? `${name} names several members: ${ids}` : `${name} is not a member`,
  );
}

/** Adds the new instance before removing the old one, so that the group is never a voter short. */
async function replaceMember(
  client: OperatorClient,
  name: string,
  added: string,
): Promise<void> {
  const {instance, address} = parseInstance(added);
  const old = findMember(await client.listMembers(), name);
  await client.addMember(instance, address);
  showMembers(await client.removeMember(old.id));
}

/**
 * Builds `syc members`.
 *
 * @example
 * ```ts
 * buildMembersCommand(createClient);
 * ```
 */
export function buildMembersCommand(createClient: CreateClient) {
  const list = command({
    name: 'list',
    description: 'lists the control instances that store the replicated state',
    args: {control},
    handler: args =>
      runCommand(async () =>
        showMembers(await createClient(args.control).listMembers()),
      ),
  });
  const add = command({
    name: 'add',
    description: 'adds a running control instance; repeating it is safe',
    args: {newInstance, control},
    handler: args =>
      runCommand(async () => {
        const {instance, address} = parseInstance(args.newInstance);
        const client = createClient(args.control);
        showMembers(await client.addMember(instance, address));
      }),
  });
  const remove = command({
    name: 'remove',
    description: 'removes a control instance',
    args: {member, control},
    handler: args =>
      runCommand(async () => {
        const client = createClient(args.control);
        showMembers(await client.removeMember(args.member));
      }),
  });
  const replace = command({
    name: 'replace',
    description: 'adds a running instance, then removes a lost one',
    args: {member, newInstance, control},
    handler: args =>
      runCommand(() =>
        replaceMember(
          createClient(args.control),
          args.member,
          args.newInstance,
        ),
      ),
  });
  return subcommands({
    name: 'members',
    description:
      'lists and changes the control instances that store the replicated state',
    cmds: {list, add, remove, replace},
  });
}
