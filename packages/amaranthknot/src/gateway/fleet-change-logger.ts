/** Notes in the log how what an instance believes of the fleet changes. */
import type * as fleet from '@amaranthknot/fleet';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as watchRole from './watch-role.js';

/** Parts that are looked at. */
export interface FleetChangeLoggerOptions {
  readonly now: () => number;
  readonly members: fleet.MemberTable;
  readonly watching: watchRole.WatchRole;
  readonly log: telemetry.DecisionLog;
}

/** Names in one line; a zone that is lost takes hundreds. */
const MAX_NAMES = 20;

/** Longest part of a peer's reason in one line, in characters. */
const MAX_REASON_LENGTH = 200;

/** One instance's beliefs of the fleet, as they were noted last. */
export class FleetChangeLogger {
  private serving: ReadonlySet<string> = new Set();
  private wasWatcher = false;

  constructor(private readonly options: FleetChangeLoggerOptions) {}

  /** Notes what has changed since the last look. */
  logChanges(): void {
    this.logPeerChanges();
    this.logRoleChange();
  }

  /**
   * Notes a message that did not pass for what it says. A peer that can't be
   * reached is seen by who is lost and who is asked instead.
   */
  logPeerFailure(peer: string, {code, message}: protocol.PeerError): void {
    if (code !== 'not_sent' && code !== 'unknown') {
      const reason = message.slice(0, MAX_REASON_LENGTH);
      this.options.log.warn('peer_message_refused', {peer, code, reason});
    }
  }

  private logPeerChanges(): void {
    const {members, now} = this.options;
    const serving = new Set(members.serving(now()).map(({id}) => id));
    const before = this.serving;
    this.serving = serving;
    this.logPeers('peer_heard', [...serving], before);
    this.logPeers('peer_lost', [...before], serving);
  }

  private logPeers(
    event: 'peer_heard' | 'peer_lost',
    ids: readonly string[],
    known: ReadonlySet<string>,
  ): void {
    const changed = ids.filter(id => !known.has(id));
    if (changed.length > 0) {
      this.options.log.info(event, {
        peers: changed.slice(0, MAX_NAMES),
        count: changed.length,
        serving: this.serving.size,
      });
    }
  }

  private logRoleChange(): void {
    const {watching, members, log} = this.options;
    const isWatcher = watching.isWatcher();
    if (isWatcher === this.wasWatcher) {
      return;
    }
    this.wasWatcher = isWatcher;
    log.info('watch_role_changed', {
      isWatcher,
      watchers: watching.findWatchers().map(({id}) => id),
      serving: this.serving.size,
      store: members.self.store,
    });
  }
}
