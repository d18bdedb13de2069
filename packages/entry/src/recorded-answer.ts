/** Encodes a service's answer as text, to be stored in a claim for retries. */
import type * as upstreams from '@amaranthknot/upstreams';

/** Prefix of answers that are not valid UTF-8; others are stored as text. */
const BASE64_MARK = 'base64:';

/** Encodes the content type and body; the status is stored beside the text. */
export const encodeAnswer = (answer: upstreams.ServiceAnswer): string => {
  const text = answer.body.toString('utf8');
  const isText = Buffer.from(text, 'utf8').equals(answer.body);
  const body = isText
    ? `text:${text}`
    : BASE64_MARK + answer.body.toString('base64');
  return `${answer.contentType}\n${body}`;
};

/** Decodes what `encodeAnswer` returned. */
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
