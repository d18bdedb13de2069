/**
 * The active configuration of one instance, and the messages by which instances
 * pass it on. It has no timers: `ConfigurationFollower` drives it.
 */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import type * as configurationHead from './configuration-head.js';
import * as configurationSource from './configuration-source.js';
import * as configurationUpdate from './configuration-update.js';
import * as freshness from './freshness.js';
import type * as peerTable from './peer-table.js';

/**
 * Timeout of one message, in milliseconds. Peers answer within a few
 * milliseconds, those of a far region within about 300. A dead peer must not
 * delay the propagation of a change, which may take at most 3 s.
 */
export const MESSAGE_TIMEOUT_MS = 600;

/**
 * Sections up to which a change is sent with an exchange. Larger changes are
 * fetched, once, so that an instance that starts slowly does not get them from
 * every peer that it talks to.
 */
const MAX_INLINE_SECTIONS = 16;

/**
 * Rows of news in one message: about 120 bytes each, of the 4 KB/s that an
 * instance may send.
 */
const NEWS_LIMIT = 4;

/** Source of a configuration. */
export type ConfigurationOrigin = 'platform' | 'peer';

/** Dependencies and settings of a `ConfigurationRelay`. */
export interface ConfigurationRelayOptions {
  readonly environment: string;
  readonly store: ports.ObjectStore;
  readonly transport: protocol.PeerTransport;
  readonly peers: peerTable.PeerTable;
  readonly clock: ports.Clock;
  /** Called each time a higher generation becomes active, and only then. */
  readonly onChange: (
    configuration: configurationUpdate.ActiveConfiguration,
    origin: ConfigurationOrigin,
  ) => void;
}

/** Keeps the active configuration, passes it on, and applies later ones. */
export class ConfigurationRelay {
  readonly freshness = new freshness.Freshness();
  private current: configurationUpdate.ActiveConfiguration | undefined;
  private mustFetchWhole = false;
  private isFetching = false;

  constructor(private readonly options: ConfigurationRelayOptions) {}

  /** The active configuration; undefined before the first. */
  activeConfiguration(): configurationUpdate.ActiveConfiguration | undefined {
    return this.current;
  }

  /** Generation of the active configuration; 0 before the first. */
  generation(): number {
    return this.current?.generation ?? 0;
  }

  /**
   * Applies a head that was read from the platform; returns whether its
   * generation is active then, or a later one that came meanwhile. Returns
   * false for a head older than the active configuration.
   */
  async adoptHead(head: configurationHead.Head): Promise<boolean> {
    if (head.generation <= this.generation()) {
      return head.generation === this.generation();
    }
    const {store, environment} = this.options;
    const update = await configurationSource.readUpdate(
      store,
      environment,
      this.current,
      head,
    );
    update.ifRight(read => this.adopt(read, 'platform'));
    return this.generation() >= head.generation;
  }

  /** Answers `exchange_generations`. */
  handleExchange(
    params: protocol.Params<'exchange_generations'>,
  ): protocol.Result<'exchange_generations'> {
    const {clock, peers} = this.options;
    const now = clock.now();
    // Selected before the contact is recorded, which clears a suspicion: the
    // peer must learn that it is suspected, so that it can refute that
    // everywhere.
    const news = peers.selectNews(params.from.id, NEWS_LIMIT);
    peers.recordContact(params.from, now);
    peers.applyNews(params.news, now);
    const theirs = this.findGeneration(params.generations);
    if (theirs > this.generation()) {
      void this.fetchFrom(params.from.address);
    }
    const change =
      theirs < this.generation() ? this.createInlineChange(theirs) : undefined;
    const confirmedAgeMs = this.freshness.confirmedAgeMs(now);
    return {
      from: peers.self(),
      generations: this.generations(),
      news,
      ...(confirmedAgeMs === undefined
        ? {}
        : {confirmedAgeMs: Math.ceil(confirmedAgeMs)}),
      zoneAgesMs: this.zoneAgesMs(now),
      ...(change ? {change} : {}),
    };
  }

  /** Answers `fetch_sections`. */
  handleFetch(
    params: protocol.Params<'fetch_sections'>,
  ): protocol.Result<'fetch_sections'> {
    const have = params.haveGeneration ?? 0;
    const isWanted =
      params.environment === this.options.environment &&
      have < this.generation();
    const change =
      isWanted && this.current
        ? configurationUpdate.createChange(have, this.current)
        : undefined;
    return change ? {change} : {};
  }

  /** Exchanges generations with a peer; returns whether it answered. */
  async exchangeWith(peer: protocol.Peer): Promise<boolean> {
    const {clock, peers} = this.options;
    const sentAt = clock.now();
    const result = await protocol.callPeer(
      this.options.transport,
      peer.address,
      'exchange_generations',
      {
        from: peers.self(),
        generations: this.generations(),
        news: peers.selectNews(peer.id, NEWS_LIMIT),
      },
      MESSAGE_TIMEOUT_MS,
    );
    if (result.isLeft()) {
      peers.recordFailure(peer.id, clock.now());
      return false;
    }
    await this.applyAnswer(result.unsafeCoerce(), peer.address, sentAt);
    return true;
  }

  /**
   * Maximum age of a confirmation, in milliseconds, for a fleet of this size.
   */
  boundMs(watchers: number): number {
    return freshness.isolationBoundMs(this.options.peers.size(), watchers);
  }

  private async applyAnswer(
    answer: protocol.Result<'exchange_generations'>,
    address: string,
    sentAt: number,
  ): Promise<void> {
    const {clock, peers} = this.options;
    peers.recordContact(answer.from, clock.now());
    peers.applyNews(answer.news, clock.now());
    this.freshness.recordContact(answer.from.zone, sentAt);
    for (const [zone, age] of Object.entries(answer.zoneAgesMs)) {
      this.freshness.recordContact(zone, sentAt - age);
    }
    if (answer.change) {
      this.applyChange(answer.change);
    }
    const theirs = this.findGeneration(answer.generations);
    if (theirs > this.generation()) {
      await this.fetchFrom(address);
    }
    // The peer's confirmation is for its own generation: until that is active
    // here, it says nothing about this instance's. Its age counts from before
    // the request was sent, since the answer may have been delayed on its way.
    if (answer.confirmedAgeMs !== undefined && this.generation() >= theirs) {
      this.freshness.confirm(sentAt - answer.confirmedAgeMs);
    }
  }

  private async fetchFrom(address: string): Promise<void> {
    if (this.isFetching) {
      return;
    }
    this.isFetching = true;
    const have = this.mustFetchWhole ? 0 : this.generation();
    const result = await protocol.callPeer(
      this.options.transport,
      address,
      'fetch_sections',
      {
        environment: this.options.environment,
        ...(have > 0 ? {haveGeneration: have} : {}),
      },
      MESSAGE_TIMEOUT_MS,
    );
    this.isFetching = false;
    result.ifRight(({change}) => {
      if (change) {
        this.applyChange(change);
      }
    });
  }

  private applyChange(change: protocol.ConfigurationChange): void {
    if (change.environment !== this.options.environment) {
      return;
    }
    const update = configurationUpdate.parseChange(this.current, change);
    update.ifRight(read => this.adopt(read, 'peer'));
  }

  /**
   * The only place where the active configuration changes. An answer may come
   * late, after another source was faster; `applyUpdate` accepts only a higher
   * generation, so the active configuration never reverts.
   */
  private adopt(
    update: configurationUpdate.ConfigurationUpdate,
    origin: ConfigurationOrigin,
  ): void {
    const result = configurationUpdate.applyUpdate(this.current, update);
    // If a change does not lead to its digest, the next one from the same base
    // won't either, so the whole configuration is requested instead.
    this.mustFetchWhole = result.isLeft()
      ? result.swap().unsafeCoerce().code === 'corrupt'
      : false;
    result.ifRight(updated => {
      this.current = updated;
      this.options.onChange(updated, origin);
    });
  }

  private generations(): protocol.Generation[] {
    const {environment} = this.options;
    return [{environment, generation: this.generation()}];
  }

  private findGeneration(generations: readonly protocol.Generation[]): number {
    return (
      generations.find(
        ({environment}) => environment === this.options.environment,
      )?.generation ?? 0
    );
  }

  private createInlineChange(
    have: number,
  ): protocol.ConfigurationChange | undefined {
    if (!this.current || have < this.current.history.since) {
      return undefined;
    }
    const change = configurationUpdate.createChange(have, this.current);
    return change.sections.length <= MAX_INLINE_SECTIONS ? change : undefined;
  }

  private zoneAgesMs(now: number): Record<string, number> {
    const {peers} = this.options;
    const bound = this.boundMs(1);
    return {
      ...this.freshness.zoneAgesMs(now, bound),
      [peers.self().zone]: 0,
    };
  }
}
