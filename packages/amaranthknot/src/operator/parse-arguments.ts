/** Parses a command's arguments and checks them against its syntax. */
import * as purify from 'purify-ts';
import * as readFlags from '../read-flags.js';

/** Declaration of one flag; its name is the key in `Flags`. */
export interface Flag {
  readonly type: 'string' | 'boolean' | 'number';
}

/** Flags of a command, by name in camel case. */
export type Flags = Readonly<Record<string, Flag>>;

type FlagValue<F extends Flag> = F['type'] extends 'boolean'
  ? boolean
  : F['type'] extends 'number'
    ? number | undefined
    : string | undefined;

/** Inputs and flags that a command takes. */
export interface Syntax<F extends Flags> {
  /** Names of the inputs for messages; a name in brackets is optional. */
  readonly inputs: readonly string[];
  readonly flags: F;
}

/** Arguments that match their syntax. */
export interface Arguments<F extends Flags> {
  readonly inputs: readonly string[];
  readonly flags: {readonly [K in keyof F]: FlagValue<F[K]>};
}

const toDashes = (name: string): string =>
  `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;

/** Finds an unknown short option; `readFlags` has checked the long ones. */
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

/** Parses arguments; Left is a message of one line. */
export const parseArguments = <F extends Flags>(
  args: readonly string[],
  syntax: Syntax<F>,
): purify.Either<string, Arguments<F>> =>
  // meow throws if a flag is given twice.
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
