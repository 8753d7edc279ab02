import type {MethodTable} from '@sycamorehead/wire';
import type {ControlNode} from './ControlNode.js';
import type {LeaderForwarder, LeaderOperation} from './LeaderForwarder.js';

function listOperations(node: ControlNode): Record<string, LeaderOperation> {
  return {
    'control.renewLease': params => node.renewLease(params),
    'control.pinSession': params => node.pinSession(params),
    'control.beginRequest': params => node.beginRequest(params),
    'control.finishRequest': params => node.finishRequest(params),
    'control.reportEvidence': params => node.reportEvidence(params),
    'control.recordBill': params => node.recordBill(params),
    'control.reportServers': params => node.reportServers(params),
  };
}

/**
 * Creates the methods that control instances serve to entries. With a forwarder, an instance that
 * does not lead forwards the calls to the leader.
 *
 * @example
 * ```ts
 * new WireServer({host, port, peerKey, methods: createControlMethods(node)});
 * ```
 * @public
 */
export function createControlMethods(
  node: ControlNode,
  forwarder?: LeaderForwarder,
): MethodTable {
  const methods: Record<string, MethodTable[string]> = {
    'control.watchRevision': (params: never) => node.watchRevision(params),
  };
  for (const [name, operation] of Object.entries(listOperations(node))) {
    forwarder?.add(name, operation);
    methods[name] = forwarder
      ? (params: never) => forwarder.run(name, params)
      : (params: never) => operation(params);
  }
  return {...methods, ...forwarder?.getMethods()};
}
