/** The size to design for, with what it is divided by. @public */
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
  readonly inForceSeconds: number;
  readonly controlCoreShare: number;
  readonly controlMegabytes: number;
  readonly controlBytesPerSecond: number;
  readonly reservedInstances: number;
  readonly failuresPerDay: number;
  readonly restartsPerDay: number;
  /** Not stated by anyone; assumed, and said so on the page. */
  readonly assumedCustomers: number;
}

/** The users' own target. @public */
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
