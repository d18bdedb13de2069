/**
 * Refuses a document that would reactivate what operators took out of use.
 *
 * Guards against a document from before a zone was taken out or a version was
 * withdrawn, which would silently undo that.
 */
import * as configuration from '@amaranthknot/configuration';
import * as purify from 'purify-ts';
import * as outcome from './outcome.js';

/**
 * Right if the document reactivates nothing, or if the operator allowed it.
 *
 * @param before the active document; undefined if there is none.
 */
export const checkReactivations = (
  before: configuration.Document | undefined,
  after: configuration.Document,
  isAllowed: boolean,
): purify.Either<outcome.Failure, void> => {
  const found =
    before === undefined || isAllowed
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
