/** A service's answer as a claim keeps it for retries of the caller. */
import type * as upstreams from '@amaranthknot/upstreams';

/** Text answers are recorded as they are, others as base64 behind a mark. */
const BASE64_MARK = 'base64:';

/** Writes a service's answer as the text that a claim keeps. */
export const encodeAnswer = (answer: upstreams.ServiceAnswer): string => {
  const text = answer.body.toString('utf8');
  const isText = Buffer.from(text, 'utf8').equals(answer.body);
  const body = isText
    ? `text:${text}`
    : BASE64_MARK + answer.body.toString('base64');
  return `${answer.contentType}\n${body}`;
};

/** Reads what `encodeAnswer` wrote. */
export const decodeAnswer = (
  status: number,
  recorded: string,
): upstreams.ServiceAnswer => {
  const end = recorded.indexOf('\n');
  const body = recorded.slice(end + 1);
  const encoded = body.slice(body.indexOf(':') + 1);
  const encoding = body.startsWith(BASE64_MARK) ? 'base64' : 'utf8';
  return {
    status,
    contentType: recorded.slice(0, end),
    body: Buffer.from(encoded, encoding),
  };
};
