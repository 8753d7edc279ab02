/** Load, fleet and limits of the deployment to design for. @public */
export interface TargetSize {
  readonly nodes: number;
  readonly replicas: number;
  readonly accelerators: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly interTokenMs: number;
  readonly versions: number;
  readonly regions: number;
  readonly dataCentres: number;
  readonly changesPerDay: number;
  /** Time within which a configuration change must be in force. */
  readonly inForceSeconds: number;
  /** Limit on the cores that the control plane uses on one node. */
  readonly controlCoreShare: number;
  /** Limit on the memory that the control plane uses on one node. */
  readonly controlMegabytes: number;
  /** Limit on the control traffic of one node. */
  readonly controlBytesPerSecond: number;
  readonly reservedInstances: number;
  readonly failuresPerDay: number;
  readonly restartsPerDay: number;
  /** An assumption, because the users state no number; the page marks it as one. */
  readonly assumedCustomers: number;
}

/** Target size stated by the project's users. @public */
export const TARGET_SIZE: TargetSize = {
  nodes: 1_500,
  replicas: 12_000,
  accelerators: 48_000,
  requestsPerSecond: 27_000,
  tokensPerSecond: 7_900_000,
  interTokenMs: 73,
  versions: 7,
  regions: 10,
  dataCentres: 31,
  changesPerDay: 110_000,
  inForceSeconds: 17,
  controlCoreShare: 0.015,
  controlMegabytes: 32,
  controlBytesPerSecond: 2_048,
  reservedInstances: 24,
  failuresPerDay: 180,
  restartsPerDay: 4_000,
  assumedCustomers: 2_000,
};
