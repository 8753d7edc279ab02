import type {RouteConfiguration} from '@sycamorehead/schema';

/** Decodes a configuration of which the tests need the version only. */
export function decodeTestConfiguration(document: unknown): RouteConfiguration {
  return {
    version: (document as {version: number}).version,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    customers: undefined,
  };
}
