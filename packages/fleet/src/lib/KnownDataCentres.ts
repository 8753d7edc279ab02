import type {ServerRegistry} from './ServerRegistry.js';

/** Form of the names of data centres where the settings list none. */
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

/** What a control instance knows of data centres. @internal */
export interface KnownDataCentresOptions {
  /** Data centre of this instance. */
  readonly own: string;
  /** Data centres in the settings; empty if they list none. */
  readonly configured: readonly string[];
  readonly registry: Pick<ServerRegistry, 'list'>;
}

/**
 * Determines which data centres orders may name: those in the settings, that of this instance and those
 * of the registered servers. Without any in the settings, each well-formed name.
 *
 * @internal
 */
export class KnownDataCentres {
  constructor(private readonly options: KnownDataCentresOptions) {}

  /** Returns whether orders may name a data centre. */
  has(name: unknown): boolean {
    if (typeof name !== 'string') return false;
    const {own, configured, registry} = this.options;
    if (configured.length === 0 && NAME_PATTERN.test(name)) return true;
    return (
      name === own ||
      configured.includes(name) ||
      registry.list().some(({registration}) => registration.dataCentre === name)
    );
  }
}
