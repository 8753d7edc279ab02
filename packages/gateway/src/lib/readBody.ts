import type {IncomingMessage} from 'node:http';
import {SycamoreheadError} from '@sycamorehead/schema';

const NO_BYTES = Buffer.alloc(0);

/**
 * Reads the complete body of a caller's request.
 *
 * @throws SycamoreheadError `body_too_large`, or `caller_gone` if it ends early.
 * @example
 * ```ts
 * const body = await readBody(message, 4_194_304);
 * ```
 * @public
 */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
): Promise<Buffer> {
  const declared = Number(message.headers['content-length'] ?? 0);
  if (declared > maxBytes) throw buildTooLarge(maxBytes);
  const isEmpty =
    declared === 0 && message.headers['transfer-encoding'] === undefined;
  if (isEmpty) {
    message.resume();
    return Promise.resolve(NO_BYTES);
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        message.pause();
        reject(buildTooLarge(maxBytes));
        return;
      }
      chunks.push(chunk);
    });
    message.on('end', () => resolve(Buffer.concat(chunks, bytes)));
    const fail = () =>
      reject(new SycamoreheadError('caller_gone', 'the body ended early'));
    message.on('error', fail);
    message.on('close', fail);
  });
}

function buildTooLarge(maxBytes: number): SycamoreheadError {
  return new SycamoreheadError(
    'body_too_large',
    `the body exceeds ${maxBytes} bytes`,
  );
}
