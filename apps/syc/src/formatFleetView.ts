import type {FleetDescription} from '@sycamorehead/fleet';

/** Name of a view, which is the kind of items that it lists. @internal */
export type FleetViewName =
  | 'routes'
  | 'servers'
  | 'rollouts'
  | 'members'
  | 'quarantine'
  | 'evacuations'
  | 'limits';

type Row = Readonly<Record<string, string | number | boolean | undefined>>;

const VIEWS: Readonly<
  Record<FleetViewName, (fleet: FleetDescription) => Row[]>
> = {
  routes: ({configuration}) =>
    (configuration?.routes ?? []).map(route => ({
      route: route.name,
      place: `${route.host}${route.pathPrefix}`,
      kind: route.kind,
      services: route.services
        .map(({service, weight}) => `${service}:${weight}`)
        .join(','),
      models: route.models.join(',') || undefined,
      timeout_ms: route.timeoutMs,
      target_ms: route.targetLatencyMs,
      attempts: route.maxAttempts,
      version: configuration?.version,
    })),
  servers: ({servers}) =>
    servers.map(({registration, isSilent}) => ({
      server: registration.id,
      service: registration.service,
      address: registration.address,
      data_centre: registration.dataCentre,
      version: registration.version,
      slots: registration.slots,
      state: isSilent ? 'silent' : registration.state,
    })),
  rollouts: ({rollouts}) =>
    rollouts.map(rollout => ({
      service: rollout.service,
      target: rollout.target,
      phase: rollout.phase,
      share: rollout.share,
      duration_ms: rollout.durationMs,
    })),
  members: ({members, leader, term}) =>
    members.map(({instance, role, address, id}) => ({
      member: instance,
      role: instance === leader ? 'leader' : role,
      address,
      id,
      term,
    })),
  quarantine: ({quarantined = []}) =>
    quarantined.map(({segments, crashes, durationMs}) => ({
      segments: segments.join(','),
      crashes,
      duration_ms: durationMs,
    })),
  evacuations: ({evacuated = [], servers}) =>
    evacuated.map(name => ({
      data_centre: name,
      servers: servers.filter(
        ({registration: {dataCentre, state}}) =>
          dataCentre === name && state !== 'gone',
      ).length,
    })),
  limits: ({limits = {}}) =>
    Object.entries(limits).map(([incarnation, [perSecond, ageMs]]) => ({
      // An incarnation is an id and the time of its start.
      server: incarnation.split(' ')[0],
      started_at: incarnation.split(' ')[1],
      per_second: perSecond ?? 'none',
      age_ms: ageMs,
    })),
};

function formatRow(row: Row): string {
  return Object.entries(row)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}

/**
 * Formats one view of a fleet as one line per item.
 *
 * @example
 * ```ts
 * formatFleetView('members', description, false); // ['member=10.1.0.4 role=leader ...']
 * ```
 * @internal
 */
export function formatFleetView(
  view: FleetViewName,
  description: FleetDescription,
  isJson: boolean,
): string[] {
  return VIEWS[view](description).map(row =>
    isJson ? JSON.stringify(row) : formatRow(row),
  );
}
