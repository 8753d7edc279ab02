/** How a request must end whose first server sends an answer without end. */
export type Verdict =
  /** Another server answers it. */
  | 'elsewhere'
  /** An error of the router's own. */
  | 'failed'
  /** Another server answers it, or it fails if the first one may still be at work. */
  | 'settled'
  /** The answer was whole; only the bytes behind it have no end. */
  | 'whole'
  /** The answer had begun; it is cut off so that it does not look complete. */
  | 'cut';

/** Kind of the route on which a request is sent. */
export type PlaceKind = 'safe' | 'unsafe' | 'streaming';

/** A place of an answer at which bytes come without end. */
export interface EndlessPlace {
  readonly opening: string;
  readonly filler: string;
  /** Verdicts by the kind of the route; other kinds are not played. */
  readonly verdicts: Readonly<Partial<Record<PlaceKind, Verdict>>>;
  /** Verdicts that differ if the bytes come slowly. */
  readonly slowVerdicts?: Readonly<Partial<Record<PlaceKind, Verdict>>>;
  /** Whether the bytes are part of the answer and passed on, as fast as the caller reads. */
  readonly isPassedOn?: boolean;
  readonly method?: string;
}

const NAMED = 'X-Request-Id: {id}\r\nX-Signature: signed\r\n';
const OK = `HTTP/1.1 200 OK\r\n${NAMED}`;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const CHUNKED_OK = `${OK}${CHUNKED}\r\n`;
const WHOLE = 'Content-Length: 5\r\n\r\nwhole';
const STREAM_OK = `${OK}Content-Type: text/event-stream\r\n${CHUNKED}\r\n`;
const EVENT = formatPiece('id: 1\ndata: piece 1\n\n');
const BODY_PIECE = formatPiece('endless '.repeat(64));
const REFUSED = `HTTP/1.1 503 Busy\r\n${NAMED}X-Not-Executed: 1\r\n`;

const LOST = {
  safe: 'elsewhere',
  unsafe: 'failed',
  streaming: 'settled',
} as const;
const STREAM_LOST = {streaming: 'settled'} as const;
/** A slow server sees that its work is cancelled. */
const STREAM_ELSEWHERE = {streaming: 'elsewhere'} as const;
const UNREADABLE = {safe: 'elsewhere', unsafe: 'failed'} as const;
const REFUSED_BY_ONE = {safe: 'elsewhere', unsafe: 'elsewhere'} as const;
const WHOLE_FOR_ALL = {safe: 'whole', unsafe: 'whole'} as const;
const CUT_FOR_ALL = {safe: 'cut', unsafe: 'cut'} as const;

function formatPiece(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** The places, by name. */
export const ENDLESS_PLACES: Readonly<Record<string, EndlessPlace>> = {
  'empty lines before its head': {
    opening: '',
    filler: '\r\n',
    verdicts: LOST,
    slowVerdicts: STREAM_ELSEWHERE,
  },
  'a status line': {
    opening: 'HTTP/1.1 200 ',
    filler: 'O',
    verdicts: UNREADABLE,
  },
  'a header name': {opening: OK, filler: 'a', verdicts: UNREADABLE},
  'a header value': {
    opening: `${OK}X-Filler: `,
    filler: 'a',
    verdicts: UNREADABLE,
  },
  'a content length': {
    opening: `${OK}Content-Length: `,
    filler: '0',
    verdicts: UNREADABLE,
  },
  'header fields': {opening: OK, filler: 'a: b\r\n', verdicts: UNREADABLE},
  'answers 100': {
    opening: '',
    filler: 'HTTP/1.1 100 Continue\r\n\r\n',
    verdicts: LOST,
    slowVerdicts: STREAM_ELSEWHERE,
  },
  'answers 103': {
    opening: '',
    filler: 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
    verdicts: LOST,
    slowVerdicts: STREAM_ELSEWHERE,
  },
  'bytes that are no HTTP': {
    opening: '',
    filler: 'garbage ',
    verdicts: UNREADABLE,
  },
  'a chunk size': {opening: CHUNKED_OK, filler: '0', verdicts: UNREADABLE},
  'a chunk extension': {
    opening: `${CHUNKED_OK}5;`,
    filler: 'a',
    verdicts: UNREADABLE,
  },
  'a trailer': {
    opening: `${CHUNKED_OK}5\r\nwhole\r\n0\r\nX-Trailer: `,
    filler: 'a',
    verdicts: UNREADABLE,
  },
  trailers: {
    opening: `${CHUNKED_OK}5\r\nwhole\r\n0\r\n`,
    filler: 'a: b\r\n',
    verdicts: UNREADABLE,
  },
  'bytes behind its length': {
    opening: OK + WHOLE,
    filler: 'x',
    verdicts: WHOLE_FOR_ALL,
  },
  'bytes behind the answer to HEAD': {
    opening: `${OK}Content-Length: 5\r\n\r\n`,
    filler: 'x',
    verdicts: {safe: 'whole'},
    method: 'HEAD',
  },
  'copies of itself': {
    opening: OK + WHOLE,
    filler: `HTTP/1.1 200 OK\r\n${WHOLE}`,
    verdicts: WHOLE_FOR_ALL,
  },
  'copies of itself behind a close': {
    opening: `${OK}Connection: close\r\n${WHOLE}`,
    filler: `HTTP/1.1 200 OK\r\n${WHOLE}`,
    verdicts: WHOLE_FOR_ALL,
  },
  'a body in chunks': {
    opening: CHUNKED_OK,
    filler: BODY_PIECE,
    verdicts: CUT_FOR_ALL,
    slowVerdicts: {safe: 'settled', unsafe: 'failed'},
    isPassedOn: true,
  },
  'a body without length': {
    opening: `${OK}\r\n`,
    filler: 'endless ',
    verdicts: CUT_FOR_ALL,
    slowVerdicts: {safe: 'settled', unsafe: 'failed'},
    isPassedOn: true,
  },
  'a line of an event': {
    opening: `${STREAM_OK}${EVENT}`,
    filler: formatPiece('x'.repeat(500)),
    verdicts: STREAM_LOST,
    slowVerdicts: STREAM_ELSEWHERE,
  },
  'lines of an event': {
    opening: `${STREAM_OK}${EVENT}`,
    filler: formatPiece('data: x\n'),
    verdicts: STREAM_LOST,
    slowVerdicts: STREAM_ELSEWHERE,
  },
  'events of a stream': {
    opening: `${STREAM_OK}${EVENT}`,
    filler: formatPiece('data: more\n\n'),
    verdicts: {streaming: 'cut'},
    slowVerdicts: STREAM_LOST,
    isPassedOn: true,
  },
  'the body of a refusal, in chunks': {
    opening: `${REFUSED}${CHUNKED}\r\n`,
    filler: BODY_PIECE,
    verdicts: REFUSED_BY_ONE,
  },
  'the body of a refusal, by length': {
    opening: `${REFUSED}Content-Length: 999999999999\r\n\r\n`,
    filler: 'x',
    verdicts: REFUSED_BY_ONE,
  },
  'the body of an error': {
    opening: `HTTP/1.1 500 Broken\r\n${NAMED}${CHUNKED}\r\n`,
    filler: BODY_PIECE,
    verdicts: {safe: 'elsewhere', ...STREAM_LOST},
    slowVerdicts: STREAM_ELSEWHERE,
  },
  'the body of a 503 that may have run': {
    opening: `HTTP/1.1 503 Busy\r\n${NAMED}${CHUNKED}\r\n`,
    filler: BODY_PIECE,
    verdicts: {safe: 'elsewhere', unsafe: 'failed'},
  },
  'the body of an answer to another request': {
    opening: `${CHUNKED_OK.replace('{id}', 'other')}`,
    filler: BODY_PIECE,
    verdicts: LOST,
    slowVerdicts: STREAM_ELSEWHERE,
  },
};

/** A stream whose second event never ends. */
export const ENDLESS_EVENT = {
  opening: `${STREAM_OK}${EVENT}`,
  filler: formatPiece('x'.repeat(500)),
};

/** An answer of a small model that is not confident. */
export const ENDLESS_WEAK_ANSWER = {
  opening: STREAM_OK.replace('\r\n', '\r\nX-Confidence: 10\r\n'),
  filler: EVENT,
};
