/** Logs an error that an instance goes on after. */
import type * as telemetry from '@amaranthknot/telemetry';

/** Logs `error`; `part` names what of the instance had it. */
export const logInternalError = (
  log: Pick<telemetry.DecisionLog, 'warn'>,
  part: string,
  error: unknown,
): void => {
  const reason = error instanceof Error ? error.stack : String(error);
  log.warn('internal_error', {part, reason});
};
