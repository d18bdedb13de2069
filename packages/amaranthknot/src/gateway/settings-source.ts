/**
 * Holds the active settings of a gateway instance and reloads them.
 *
 * Settings that fail to parse are refused and the active ones stay, so that a
 * bad file does not stop a running instance.
 */
import * as configuration from '@amaranthknot/configuration';
import type * as purify from 'purify-ts';

/** Outcome of a reload; `refused` leaves the active settings as they were. */
export type ReloadOutcome =
  | {readonly kind: 'same'}
  | {readonly kind: 'changed'}
  | {readonly kind: 'refused'; readonly reason: string};

/** Reads the text of the settings; Left is the reason why it can't be read. */
export type ReadSettings = () => purify.Either<string, string>;

/** The active settings and the source that they are reloaded from. */
export class SettingsSource {
  private settings: configuration.GatewaySettings;

  constructor(
    first: configuration.GatewaySettings,
    /** Text that was read last, refused or not. */
    private text: string,
    private readonly read: ReadSettings,
    /** Name of the file, for messages. */
    private readonly file: string,
  ) {
    this.settings = first;
  }

  /** The active settings. */
  get current(): configuration.GatewaySettings {
    return this.settings;
  }

  /** Reads the settings again, and activates them if they are valid. */
  reload(): ReloadOutcome {
    return this.read().caseOf<ReloadOutcome>({
      Left: reason => ({kind: 'refused', reason}),
      Right: text => this.replace(text),
    });
  }

  private replace(text: string): ReloadOutcome {
    if (text === this.text) {
      return {kind: 'same'};
    }
    this.text = text;
    return configuration
      .parseGatewaySettings(text, this.file)
      .caseOf<ReloadOutcome>({
        Left: problems => ({
          kind: 'refused',
          reason: problems.map(configuration.formatProblem).join('; '),
        }),
        Right: settings => {
          this.settings = settings;
          return {kind: 'changed'};
        },
      });
  }
}
