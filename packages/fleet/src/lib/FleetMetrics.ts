import {Counter, Gauge, Registry} from 'prom-client';

/** Values of the gauges of a control instance. @public */
export interface FleetGauges {
  readonly configurationVersion: number;
  readonly isLeader: boolean;
  readonly members: number;
  readonly servers: number;
  readonly entries: number;
  readonly evacuated: number;
  /** Bytes of the log entries in memory. */
  readonly logBytes: number;
}

/**
 * Counters and gauges of one control instance.
 *
 * @public
 */
export class FleetMetrics {
  readonly registry = new Registry();
  private readonly changes = new Counter({
    name: 'syc_control_server_changes_total',
    help: 'Changes that backend servers told of, by their state',
    labelNames: ['state'],
    registers: [this.registry],
  });
  private readonly elections = new Counter({
    name: 'syc_control_elections_won_total',
    help: 'Terms that this instance has led',
    registers: [this.registry],
  });

  private readonly coldPermits = new Counter({
    name: 'syc_control_cold_permits_total',
    help: 'Sends to cold servers that entries wanted, and that were granted',
    labelNames: ['type'],
    registers: [this.registry],
  });

  constructor(readGauges: () => FleetGauges) {
    const names: Readonly<Record<keyof FleetGauges, string>> = {
      configurationVersion: 'configuration_version',
      isLeader: 'is_leader',
      members: 'members',
      servers: 'servers',
      entries: 'entries_linked',
      evacuated: 'evacuated_data_centres',
      logBytes: 'log_bytes',
    };
    for (const [field, name] of Object.entries(names)) {
      const gauge: Gauge = new Gauge({
        name: `syc_control_${name}`,
        help: name.replaceAll('_', ' '),
        registers: [this.registry],
        collect: () =>
          gauge.set(Number(readGauges()[field as keyof FleetGauges])),
      });
    }
  }

  /** Counts a change that a backend server reported. */
  countServerChange(state: string): void {
    this.changes.inc({state});
  }

  /** Counts the sends to a cold server that an entry wanted, and that it was granted. */
  countColdPermits(wanted: number, granted: number): void {
    this.coldPermits.inc({type: 'wanted'}, wanted);
    this.coldPermits.inc({type: 'granted'}, granted);
  }

  /** Counts an election that this instance has won. */
  countElection(): void {
    this.elections.inc();
  }
}
