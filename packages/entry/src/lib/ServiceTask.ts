import type {CustomerDeclaration, ServiceCall} from '@sycamorehead/schema';
import type {HttpExchange} from './HttpExchange.js';

/** A call of a plain service that is being served. @public */
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
