/**
 * Limits the requests on upstreams in cold start to their capacity, summed over
 * all entry instances: requests grants of slots from the upstream's issuer, and
 * issues them if this instance is the issuer.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as upstreamDirectory from './upstream-directory.js';

/** Dependencies and settings of a `WarmUpLimiter`. */
export interface WarmUpLimiterOptions {
  readonly self: string;
  readonly clock: ports.Clock;
  /** Ids of instances that accept long-running work, this one included. */
  readonly instances: () => readonly string[];
  /** When the view of other instances was last confirmed, on `clock`. */
  readonly confirmedAtMs: () => number;
  /** Number of this instance's requests in progress on an upstream. */
  readonly inFlight: (upstream: string) => number;
  /** Requests slots from another instance; undefined if it does not answer. */
  readonly ask: (
    instance: string,
    params: protocol.Params<'request_grant'>,
  ) => Promise<protocol.Result<'request_grant'> | undefined>;
  /** Called when an upstream is first found to be cold. */
  readonly notifyCold: (upstream: string) => void;
  readonly timing?: decisions.WarmUpTiming;
}

/** Time between two requests for grants, in milliseconds; a third of a term. */
export const GRANT_REQUEST_INTERVAL_MS = 300;

/**
 * A cold start that began this much later than the one the issuer knows, in
 * milliseconds, is a new one.
 */
const RESTART_MARGIN_MS = 1_000;

/** Capacity assumed for a cold upstream until its first load report. */
const UNREPORTED_CURVE: decisions.WarmUpCurve = {
  coldSlots: 1,
  fullSlots: 2,
  warmMs: 60_000,
};

interface ColdUpstream {
  readonly curve: decisions.WarmUpCurve;
  readonly sinceMs: number;
  readonly grant?: decisions.HeldGrant;
}

/** Holds and issues grants for upstreams in cold start. */
export class WarmUpLimiter {
  private readonly cold = new Map<string, ColdUpstream>();
  private readonly issuers = new Map<string, decisions.WarmUpIssuer>();
  private readonly timing: decisions.WarmUpTiming;
  private readonly startedAtMs: number;
  /** Ids of the known instances, joined; a change drops all issuers. */
  private view = '';
  private viewSinceMs: number;

  constructor(private readonly options: WarmUpLimiterOptions) {
    this.timing = options.timing ?? decisions.WARM_UP_TIMING;
    this.startedAtMs = options.clock.now();
    this.viewSinceMs = this.startedAtMs;
  }

  /** Applies a load report; an upstream that reports no warm-up is warm. */
  applyReport(id: string, report: upstreamDirectory.LoadReport): void {
    const {warmUp, slots} = report;
    if (!warmUp || warmUp.ageMs >= warmUp.warmMs) {
      this.cold.delete(id);
      this.issuers.delete(id);
      return;
    }
    const {coldSlots, warmMs, ageMs} = warmUp;
    const before = this.cold.get(id);
    if (!before) {
      this.options.notifyCold(id);
    }
    this.cold.set(id, {
      ...before,
      curve: {coldSlots, fullSlots: slots, warmMs},
      sinceMs: this.options.clock.now() - ageMs,
    });
  }

  /**
   * Records that an upstream refused an attempt because it is cold. It can
   * become cold between two load reports, and further requests could make it
   * fail. Nothing starts on it until its next report or a first grant.
   */
  recordRefusal(id: string): void {
    if (!this.cold.has(id)) {
      this.options.notifyCold(id);
      const sinceMs = this.options.clock.now();
      this.cold.set(id, {curve: UNREPORTED_CURVE, sinceMs});
    }
  }

  /** Whether one more request may start on an upstream. */
  mayStart(id: string): boolean {
    const cold = this.cold.get(id);
    if (!cold) {
      return true;
    }
    const {clock, inFlight} = this.options;
    return decisions.mayStartOnGrant(cold.grant, inFlight(id), clock.now());
  }

  /** Requests a grant for each cold upstream. */
  async requestGrants(): Promise<void> {
    this.updateView();
    await Promise.all(
      [...this.cold].map(([id, cold]) => this.requestGrant(id, cold)),
    );
  }

  /** Answers a request for a grant, with no slots if this is not the issuer. */
  answer(
    params: protocol.Params<'request_grant'>,
  ): protocol.Result<'request_grant'> {
    const now = this.options.clock.now();
    const {upstream, ageMs} = params;
    const mayIssue = decisions.mayIssueGrants(
      upstream,
      this.options.self,
      {
        instances: this.options.instances(),
        confirmedAtMs: this.options.confirmedAtMs(),
        memberSinceMs: this.startedAtMs,
      },
      now,
      this.timing,
    );
    if (!mayIssue) {
      return {slots: 0, termMs: this.timing.termMs};
    }
    const issuer = this.findIssuer(upstream, now - ageMs, now);
    const issued = decisions.issueGrant(
      issuer,
      params,
      now,
      params,
      this.timing,
    );
    this.issuers.set(upstream, issued.issuer);
    return issued.grant;
  }

  private findIssuer(
    upstream: string,
    coldSinceMs: number,
    now: number,
  ): decisions.WarmUpIssuer {
    const known = this.issuers.get(upstream);
    if (known) {
      const isRestarted = coldSinceMs > known.coldSinceMs + RESTART_MARGIN_MS;
      return isRestarted ? decisions.resetIssuer(known, coldSinceMs) : known;
    }
    const {viewLagMs, termMs, drainMs} = this.timing;
    const settledAtMs = this.viewSinceMs + viewLagMs + termMs + drainMs;
    // The list of instances has not changed for so long that no other instance
    // can have issued grants that are still valid.
    return settledAtMs < now
      ? decisions.createInitialIssuer(coldSinceMs)
      : decisions.createSuccessorIssuer(coldSinceMs, now, this.timing);
  }

  private updateView(): void {
    const view = [...this.options.instances()].sort().join(' ');
    if (view !== this.view) {
      this.view = view;
      this.viewSinceMs = this.options.clock.now();
      this.issuers.clear();
    }
  }

  private async requestGrant(id: string, cold: ColdUpstream): Promise<void> {
    const {self, clock, instances, inFlight, ask} = this.options;
    const ids = instances();
    if (!decisions.mayRequestGrants(id, self, ids, cold.curve)) {
      return;
    }
    const [issuer = self] = decisions.rankByRendezvous(id, ids, 1);
    const sentAt = clock.now();
    const params = {
      upstream: id,
      instance: self,
      wanted: cold.curve.fullSlots,
      inFlight: inFlight(id),
      ageMs: sentAt - cold.sinceMs,
      ...cold.curve,
    };
    const grant =
      issuer === self ? this.answer(params) : await ask(issuer, params);
    const current = this.cold.get(id);
    if (grant && current) {
      const {slots, termMs} = grant;
      const held = {slots, endsAtMs: sentAt + termMs};
      this.cold.set(id, {...current, grant: held});
    }
  }
}
