import {
  ServerRegistration,
  ServerWarmup,
  buildIncarnationKey,
} from '@sycamorehead/schema';
import type {ConfigurationDecoder} from './FleetCommands.js';
import type {StoredConfiguration} from './fleetMessages.js';

/**
 * Finds what a backend server bears while it is cold, by the configuration that this control instance
 * has applied.
 *
 * @internal
 */
export class ServiceWarmups {
  private version = 0;
  private warmups: ReadonlyMap<string, ServerWarmup> = new Map();

  constructor(
    private readonly decode: ConfigurationDecoder,
    private readonly getConfiguration: () => StoredConfiguration,
    private readonly findRegistration: (
      id: string,
    ) => ServerRegistration | undefined,
  ) {}

  /** Returns the warm-up of an incarnation, `ID STARTED_AT_MS`; undefined if it is not known. */
  find(incarnation: string): ServerWarmup | undefined {
    const id = incarnation.slice(0, incarnation.lastIndexOf(' '));
    const registration = this.findRegistration(id);
    if (!registration) return undefined;
    if (buildIncarnationKey(registration) !== incarnation) return undefined;
    return this.findByService(registration.service);
  }

  /** Returns the warm-up of the servers of a service; undefined if they have none. */
  findByService(service: string): ServerWarmup | undefined {
    this.updateServices();
    return this.warmups.get(service);
  }

  private updateServices(): void {
    const {version, document} = this.getConfiguration();
    // A log that is opened again has no configuration yet.
    if (version === 0 || version === this.version) return;
    this.version = version;
    const {services} = this.decode(document);
    this.warmups = new Map(
      services.flatMap(({name, warmup}) => (warmup ? [[name, warmup]] : [])),
    );
  }
}
