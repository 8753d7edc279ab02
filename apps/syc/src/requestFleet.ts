import {readSecret} from '@sycamorehead/telemetry';
import {connectPeer, parsePeerAddress} from '@sycamorehead/wire';

/** Peer name under which this tool connects; control instances and entries log it. */
const TOOL_NAME = 'syc';
/** Timeout for one request to a fleet, in milliseconds; short because a person waits. */
const REQUEST_TIMEOUT_MS = 3_000;

/**
 * Sends one request to a control instance or an entry of a fleet.
 *
 * @example
 * ```ts
 * await requestFleet('10.1.0.4:7640', FLEET_METHODS.describe, {});
 * ```
 * @internal
 */
export async function requestFleet<Result>(
  address: string,
  method: string,
  params: unknown,
): Promise<Result> {
  const link = await connectPeer({
    address: parsePeerAddress(address),
    name: TOOL_NAME,
    peerKey: readSecret('SYC_PEER_KEY'),
    methods: {},
  });
  try {
    return await link.request<Result>(method, params, REQUEST_TIMEOUT_MS);
  } finally {
    link.close('done');
  }
}
