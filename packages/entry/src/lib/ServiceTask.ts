import type {CustomerDeclaration, ServiceCall} from '@sycamorehead/schema';
import type {HttpExchange} from './HttpExchange.js';

/** One call on its way to a plain service. @public */
export interface ServiceTask {
  readonly exchange: HttpExchange;
  readonly customer: CustomerDeclaration;
  readonly service: string;
  readonly path: string;
  readonly call: ServiceCall;
  readonly body: Buffer;
  readonly revision: number;
  readonly idempotencyKey?: string;
  readonly requestKey: string;
}
