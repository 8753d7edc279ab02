import type {MethodTable} from '@sycamorehead/wire';
import type {ControlNode} from './ControlNode.js';

/**
 * The methods that control offers to entries over the wire.
 *
 * @example
 * ```ts
 * new WireServer({host, port, peerKey, methods: createControlMethods(node)});
 * ```
 * @public
 */
export function createControlMethods(node: ControlNode): MethodTable {
  return {
    'control.renewLease': (params: never) => node.renewLease(params),
    'control.pinSession': (params: never) => node.pinSession(params),
    'control.beginRequest': (params: never) => node.beginRequest(params),
    'control.finishRequest': (params: never) => node.finishRequest(params),
    'control.reportEvidence': (params: never) => node.reportEvidence(params),
    'control.recordBill': (params: never) => node.recordBill(params),
  };
}
