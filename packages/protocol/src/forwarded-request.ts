/**
 * What an instance tells another one with a request that it forwards. It sends
 * the caller's request as it is, with this in a header: what it decided about
 * the request, and what it has already done.
 */
import * as purify from 'purify-ts';
import * as zod from 'zod';
import * as shapes from './shapes.js';

/** Names of headers that only instances send each other. */
export const FORWARD_HEADERS = {
  /** In a forwarded request: an encoded `ForwardedRequest`. */
  request: 'Amaranthknot-Forwarded',
  /** In an answer that the receiving instance gives itself: the reason. */
  refusal: 'Amaranthknot-Refusal',
  /** In an answer: the model that gives it, if the instance chose one. */
  model: 'Amaranthknot-Model',
  /** In an answer of an upstream: its id. */
  upstream: 'Amaranthknot-Upstream',
} as const;

const schema = zod.object({
  /** Version of the configuration by which it was accepted. */
  configuration: shapes.count,
  route: shapes.name,
  service: shapes.name,
  /** Absent if the route needs no API key. */
  workspace: shapes.name.optional(),
  /** Number of upstreams on which it may run from now on. */
  attempts: zod.int().positive(),
  /** Number of attempts to send it so far. */
  sends: shapes.count,
  /** Whether one of them may have reached an upstream. */
  isRepeat: zod.boolean(),
  /** The model that must run it; absent if any of the route may. */
  model: shapes.name.optional(),
});

/** A request's decisions and history, for the instance it is forwarded to. */
export type ForwardedRequest = Readonly<zod.infer<typeof schema>>;

/** Encodes it as the value of a header. */
export const encodeForwardedRequest = (request: ForwardedRequest): string =>
  Buffer.from(JSON.stringify(request)).toString('base64url');

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    // No schema accepts it; the caller gets the reason.
    return undefined;
  }
};

/** Decodes the value of a header; Left says what is wrong. */
export const decodeForwardedRequest = (
  value: string,
): purify.Either<string, ForwardedRequest> => {
  const text = Buffer.from(value, 'base64url').toString();
  const parsed = schema.safeParse(parseJson(text));
  return parsed.success
    ? purify.Right(parsed.data)
    : purify.Left(zod.prettifyError(parsed.error));
};
