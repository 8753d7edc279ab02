import type {ServerRegistration} from '@sycamorehead/schema';

/** Builds a server registration with the given overrides. */
export function buildRegistration(
  overrides: Partial<ServerRegistration> = {},
): ServerRegistration {
  return {
    id: 's1',
    service: 'drafts',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    version: 'v1',
    slots: 8,
    state: 'ready',
    startedAtMs: 1_000,
    sequence: 1,
    ...overrides,
  };
}
