/** Answers typed messages from other instances. */
import * as rpc from 'json-rpc-2.0';
import * as messages from './messages.js';

/** Handlers by method; a method without a handler is answered as unknown. */
export type Handlers = {
  readonly [M in messages.MethodName]?: (
    params: messages.Params<M>,
  ) => messages.Result<M> | Promise<messages.Result<M>>;
};

/** Answers requests given as text. */
export interface PeerServer {
  /**
   * Resolves to the answer's text, which may be a JSON-RPC error; never
   * rejects.
   */
  handle(text: string): Promise<string>;
}

type Handler = (params: never) => unknown;

const addMethod = (
  server: rpc.JSONRPCServer,
  method: messages.MethodName,
  handler: Handler,
): void => {
  server.addMethod(method, (params: unknown) => {
    const checked = messages.schemas[method].params.safeParse(params);
    if (!checked.success) {
      throw new rpc.JSONRPCErrorException(
        checked.error.message,
        rpc.JSONRPCErrorCode.InvalidParams,
      );
    }
    return handler(checked.data as never);
  });
};

/** Called with an error of a handler; its peer gets an error as the answer. */
export type HandlerErrorListener = (error: unknown) => void;

/**
 * Creates a server that dispatches to `handlers`.
 *
 * @param onError not called for messages that are refused.
 */
export const createPeerServer = (
  handlers: Handlers,
  onError: HandlerErrorListener = () => undefined,
): PeerServer => {
  const errorListener = (_message: string, error: unknown) => {
    if (!(error instanceof rpc.JSONRPCErrorException)) {
      onError(error);
    }
  };
  const server = new rpc.JSONRPCServer({errorListener});
  for (const method of Object.keys(messages.schemas)) {
    const known = method as messages.MethodName;
    const handler = handlers[known];
    if (handler) {
      addMethod(server, known, handler);
    }
  }
  return {
    handle: async text => {
      const answer = await server.receiveJSON(text);
      return answer === null ? '' : JSON.stringify(answer);
    },
  };
};
