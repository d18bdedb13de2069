/**
 * Parses a number of 0 or more from the value of a header; undefined if it is
 * missing, malformed or negative.
 */
export const parseAmount = (text: string | undefined): number | undefined => {
  const amount = Number(text);
  const isValid = Number.isFinite(amount) && amount >= 0 && text?.trim() !== '';
  return isValid ? amount : undefined;
};
