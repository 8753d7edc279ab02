/** Packages from the leaves up: a package may import only names listed before its own. */
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
