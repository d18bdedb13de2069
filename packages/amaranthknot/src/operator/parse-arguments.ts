/** Checks the values and inputs of a command's arguments. */
import * as purify from 'purify-ts';
import * as readFlags from '../read-flags.js';

/** One flag, by its name in camel case. */
export interface Flag {
  readonly type: 'string' | 'boolean' | 'number';
}

/** Flags of a command. */
export type Flags = Readonly<Record<string, Flag>>;

type FlagValue<F extends Flag> = F['type'] extends 'boolean'
  ? boolean
  : F['type'] extends 'number'
    ? number | undefined
    : string | undefined;

/** What a command takes. */
export interface Syntax<F extends Flags> {
  /** Names of the inputs, for messages; those in brackets are optional. */
  readonly inputs: readonly string[];
  readonly flags: F;
}

/** Arguments that fit their syntax. */
export interface Arguments<F extends Flags> {
  readonly inputs: readonly string[];
  readonly flags: {readonly [K in keyof F]: FlagValue<F[K]>};
}

const toDashes = (name: string): string =>
  `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;

/** Long options are known by now; this finds short ones. */
const findUnknown = (
  written: readonly string[],
  known: readonly string[],
): string | undefined => {
  const name = written.find(flag => !known.includes(flag));
  return name === undefined ? undefined : `unknown option -${name}`;
};

const findBadValue = (
  flags: Readonly<Record<string, unknown>>,
  known: Flags,
): string | undefined => {
  const isBad = ([name, {type}]: [string, Flag]): boolean => {
    const value = flags[name];
    return value === '' || (type === 'number' && Number.isNaN(value));
  };
  const bad = Object.entries(known).find(isBad);
  return bad && `${toDashes(bad[0])} needs a ${bad[1].type} as its value`;
};

const findBadInput = (
  inputs: readonly string[],
  names: readonly string[],
): string | undefined => {
  const missing = names
    .slice(inputs.length)
    .find(name => !name.startsWith('['));
  if (missing !== undefined) {
    return `needs ${missing}`;
  }
  const extra = inputs[names.length];
  return extra === undefined ? undefined : `takes no "${extra}"`;
};

/** Parses arguments; the left is one line that says what is wrong. */
export const parseArguments = <F extends Flags>(
  args: readonly string[],
  syntax: Syntax<F>,
): purify.Either<string, Arguments<F>> =>
  // The parser throws on a flag that is given twice.
  purify.Either.encase(() => readFlags.readFlags(args, syntax.flags as Flags))
    .mapLeft(error => error.message)
    .chain(read => read)
    .chain(({input, flags}) => {
      const fault =
        findUnknown(Object.keys(flags), Object.keys(syntax.flags)) ??
        findBadValue(flags, syntax.flags) ??
        findBadInput(input, syntax.inputs);
      return fault === undefined
        ? purify.Right({
            inputs: input,
            flags: flags as Arguments<F>['flags'],
          })
        : purify.Left(fault);
    });
