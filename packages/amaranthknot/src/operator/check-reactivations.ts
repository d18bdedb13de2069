/** Refuses a document that would bring back what is out of use. */
import * as configuration from '@amaranthknot/configuration';
import * as purify from 'purify-ts';
import * as outcome from './outcome.js';

/**
 * Right when nothing comes back, or when the operator said that it may.
 *
 * @param before nothing when nothing was in force.
 */
export const checkReactivations = (
  before: configuration.Document | undefined,
  after: configuration.Document,
  mayBringBack: boolean,
): purify.Either<outcome.Failure, void> => {
  const found =
    before === undefined || mayBringBack
      ? []
      : configuration.findReactivations(before, after);
  if (found.length === 0) {
    return purify.Right(undefined);
  }
  return purify.Left({
    code: 'refused',
    lines: [
      'this would bring back what is out of use; say --bring-back if it should:',
      ...found.map(configuration.formatChange),
    ],
    details: {returns: found},
  });
};
