/** Logs changes in what one instance knows of the fleet. */
import type * as fleet from '@amaranthknot/fleet';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as watchRole from './watch-role.js';

/** Dependencies of a `FleetChangeLogger`. */
export interface FleetChangeLoggerOptions {
  readonly now: () => number;
  readonly members: fleet.MemberTable;
  readonly role: watchRole.WatchRole;
  readonly log: telemetry.DecisionLog;
}

/** Maximum number of ids in one line: the loss of a zone concerns hundreds. */
const MAX_IDS = 20;

/** Maximum length of a peer's reason in one line, in characters. */
const MAX_REASON_LENGTH = 200;

/** Compares what an instance knows of the fleet with what was logged last. */
export class FleetChangeLogger {
  private serving: ReadonlySet<string> = new Set();
  private wasWatcher = false;

  constructor(private readonly options: FleetChangeLoggerOptions) {}

  /** Logs what has changed since the last call. */
  logChanges(): void {
    this.logPeerChanges();
    this.logRoleChange();
  }

  /**
   * Logs a message that a peer refused or failed to handle, or whose answer was
   * invalid. A peer that can't be reached is not logged here: `peer_lost` and
   * `watch_source_changed` show it.
   */
  logPeerFailure(peer: string, {code, message}: protocol.PeerError): void {
    if (code !== 'not_sent' && code !== 'unknown') {
      const reason = message.slice(0, MAX_REASON_LENGTH);
      this.options.log.warn('peer_message_refused', {peer, code, reason});
    }
  }

  /**
   * Logs an answer of a peer that says it held the call for longer than the call
   * took: a sign that the clock of the peer jumped.
   */
  logLongHold({address, heldMs, elapsedMs}: fleet.LongHold): void {
    this.options.log.warn('peer_hold_bounded', {
      peer: address,
      heldMs: Math.round(heldMs),
      elapsedMs: Math.round(elapsedMs),
    });
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
        peers: changed.slice(0, MAX_IDS),
        count: changed.length,
        serving: this.serving.size,
      });
    }
  }

  private logRoleChange(): void {
    const {role, members, log} = this.options;
    const isWatcher = role.isWatcher();
    if (isWatcher === this.wasWatcher) {
      return;
    }
    this.wasWatcher = isWatcher;
    log.info('watch_role_changed', {
      isWatcher,
      watchers: role.findWatchers().map(({id}) => id),
      serving: this.serving.size,
      store: members.self.store,
    });
  }
}
