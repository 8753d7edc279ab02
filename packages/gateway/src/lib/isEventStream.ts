const EVENT_STREAM = 'text/event-stream';

/**
 * Returns whether a content type, which may have parameters and capitals, names an event stream.
 *
 * @example
 * ```ts
 * isEventStream('Text/Event-Stream; charset=utf-8'); // true
 * ```
 * @internal
 */
export function isEventStream(contentType: string): boolean {
  const [mediaType = ''] = contentType.split(';');
  return mediaType.trim().toLowerCase() === EVENT_STREAM;
}
