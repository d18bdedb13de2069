/** Sends typed messages to other instances over a transport. */
import * as rpc from 'json-rpc-2.0';
import * as purify from 'purify-ts';
import * as messages from './messages.js';
import type * as peerTransport from './peer-transport.js';

const failure = (
  code: peerTransport.PeerErrorCode,
  message: string,
): purify.Either<peerTransport.PeerError, never> =>
  purify.Left({code, message});

/** Fixed request id: an HTTP exchange carries only one request. */
const REQUEST_ID = 1;

/** Encodes a request as the text that a peer's server receives. */
export const encodeRequest = <M extends messages.MethodName>(
  method: M,
  params: messages.Params<M>,
): string =>
  JSON.stringify(rpc.createJSONRPCRequest(REQUEST_ID, method, params));

const parse = (text: string): purify.Either<peerTransport.PeerError, unknown> =>
  purify.Either.encase<Error, unknown>(() => JSON.parse(text)).mapLeft(
    error => ({
      code: 'invalid' as const,
      message: error.message,
    }),
  );

const toErrorCode = (error: rpc.JSONRPCError): peerTransport.PeerErrorCode => {
  // Errors thrown by handlers have the library's default code, 0.
  const refusals: readonly number[] = [-32700, -32600, -32601, -32602];
  return refusals.includes(error.code) ? 'refused' : 'failed';
};

/**
 * Decodes an answer's text, and checks it against the schema of the method's
 * result.
 */
export const decodeResponse = <M extends messages.MethodName>(
  method: M,
  text: string,
): purify.Either<peerTransport.PeerError, messages.Result<M>> =>
  parse(text).chain(answer => {
    if (!rpc.isJSONRPCResponse(answer)) {
      return failure('invalid', 'the answer is not JSON-RPC');
    }
    if (answer.error) {
      return failure(toErrorCode(answer.error), answer.error.message);
    }
    const checked = messages.schemas[method].result.safeParse(answer.result);
    return checked.success
      ? purify.Right(checked.data as messages.Result<M>)
      : failure('invalid', checked.error.message);
  });

/** Sends one message to the instance at `address` and waits for its result. */
export const callPeer = async <M extends messages.MethodName>(
  transport: peerTransport.PeerTransport,
  address: string,
  method: M,
  params: messages.Params<M>,
  timeoutMs: number,
): Promise<purify.Either<peerTransport.PeerError, messages.Result<M>>> => {
  const answer = await transport(
    address,
    encodeRequest(method, params),
    timeoutMs,
  );
  return answer.chain(text => decodeResponse(method, text));
};
