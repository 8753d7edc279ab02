/** Packages in order of their layers: a package may import only packages listed before it. */
export const LAYERS = [
  'schema',
  'telemetry',
  'wire',
  'consensus',
  'control',
  'membership',
  'routing',
  'fleet',
  'entry',
  'gateway',
  'report',
  'stand-ins',
  'bench',
];

/** Packages that no product program may import. */
export const DEVELOPMENT_ONLY = ['stand-ins', 'bench'];
