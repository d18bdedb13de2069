/** Parses a command's arguments with meow, without exiting the process. */
import * as configuration from '@amaranthknot/configuration';
import * as meow from 'meow';
import * as purify from 'purify-ts';

/** Declaration of a flag: type, default, and whether it may be repeated. */
export type Flag = meow.AnyFlag;

/** Inputs and flag values of a command. */
export interface Arguments<F extends Readonly<Record<string, Flag>>> {
  readonly input: readonly string[];
  readonly flags: meow.TypedFlags<F>;
}

const toOption = (name: string): string =>
  `--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;

const findUnknown = (
  args: readonly string[],
  known: readonly string[],
): string | undefined => {
  const end = args.indexOf('--');
  return (end === -1 ? args : args.slice(0, end))
    .filter(arg => arg.startsWith('--'))
    .map(arg => arg.split('=')[0] ?? '')
    .find(arg => !known.includes(arg) && !known.includes(negate(arg)));
};

const negate = (option: string): string => option.replace(/^--no-/, '--');

/** Parses arguments; Left is the message for an unknown option. */
export const readFlags = <const F extends Readonly<Record<string, Flag>>>(
  args: readonly string[],
  flags: F,
): purify.Either<string, Arguments<F>> => {
  const known = Object.keys(flags).map(toOption);
  const unknown = findUnknown(args, known);
  if (unknown !== undefined) {
    const nearest = configuration.findNearest(unknown, known);
    const hint = nearest ? `; did you mean ${nearest}?` : '';
    return purify.Left(`unknown option ${unknown}${hint}`);
  }
  const cli = meow.default({
    // In the bundle, `import.meta` has no other property than `url`.
    importMeta: {url: import.meta.url} as ImportMeta,
    argv: args,
    flags: flags,
    autoHelp: false,
    autoVersion: false,
    pkg: {},
  });
  return purify.Right({
    input: cli.input,
    flags: cli.flags as meow.TypedFlags<F>,
  });
};
