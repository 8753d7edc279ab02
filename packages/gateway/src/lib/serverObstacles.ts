/**
 * Why a backend server does not get a request now, in the order in which it is found: it is not listed
 * any more, has left, leaves, is in a data centre that is evacuated or may be, wants no requests, runs a
 * version that the roll-out does not permit, has no permit by its limit or its coldness, has to answer
 * first after a pause, has no slot, has failed this request or others, has no memory, or is in its slow
 * start.
 *
 * @public
 */
export type ServerObstacle =
  | 'unlisted'
  | 'not_ready'
  | 'leaving'
  | 'evacuation_unknown'
  | 'evacuated'
  | 'pause'
  | 'version_rejected'
  | 'other_version'
  | 'limit'
  | 'cold'
  | 'returning'
  | 'no_slot'
  | 'tried'
  | 'ejected'
  | 'no_memory'
  | 'slow_start';
