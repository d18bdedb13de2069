/**
 * Messages between instances, entry or gateway ones: the parameters and the
 * result of each method. Schemas check what arrives; types are derived from
 * them. During an upgrade of the product the two ends may run neighbouring
 * releases, so a receiver ignores fields that it does not know.
 */
import * as zod from 'zod';
import * as fleetMessages from './fleet-messages.js';
import * as shapes from './shapes.js';

/**
 * Liveness of an instance: `suspect` did not answer some peer and has not shown
 * a sign of life since; `dead` was suspect for too long.
 */
const peerState = zod.enum(['live', 'leaving', 'suspect', 'dead']);

/** One instance as its peers know it. */
const peer = zod.object({
  id: shapes.name,
  /** `host:port`, where the host is an IP address. */
  address: shapes.name,
  zone: shapes.name,
  state: peerState,
  /**
   * Set by the instance itself; the row with the higher one is the later one.
   */
  incarnation: shapes.count,
});

/**
 * Active configuration of an environment. The digest is left out: one
 * conditional update makes each generation, so its number identifies it, at a
 * sixth of the bytes of a message that every instance sends each second.
 */
const generation = zod.object({
  environment: shapes.name,
  generation: shapes.count,
});

/**
 * What an instance knows of its configuration:
 *
 * - `starting`: it has none yet.
 * - `confirmed`: the platform confirmed it lately.
 * - `platform_out`: most zones are heard, and none reaches the platform.
 * - `isolated`: none of these; its configuration may be out of date.
 */
const standing = zod.enum([
  'starting',
  'confirmed',
  'platform_out',
  'isolated',
]);

/**
 * A named section of an environment's document, and the generation that last
 * changed it. Its digest is left out, since the receiver computes it from the
 * content anyway to check the whole.
 */
const section = zod.object({
  name: shapes.name,
  generation: shapes.count,
  content: zod.unknown(),
});

/** A section that was removed, and the generation that removed it. */
const removedSection = zod.object({
  name: shapes.name,
  generation: shapes.count,
});

/**
 * The difference between one configuration and a later one. `baseGeneration` is
 * absent if `sections` is the whole configuration.
 */
const configurationChange = zod.object({
  environment: shapes.name,
  generation: shapes.count,
  /** Digest of the manifest after the change. */
  digest: shapes.name,
  baseGeneration: shapes.count.optional(),
  /** Generation from which the sender knows all changes. */
  since: shapes.count,
  sections: zod.array(section).max(shapes.MAX_ITEMS),
  removed: zod.array(removedSection).max(shapes.MAX_ITEMS),
});

/** Schemas of parameters and results by method. */
export const schemas = {
  /**
   * Sends the active generations; the result has the receiver's, and newer
   * sections.
   */
  exchange_generations: {
    params: zod.object({
      from: peer,
      generations: zod.array(generation).max(shapes.MAX_ENVIRONMENTS),
      /** Recent changes of membership. */
      news: zod.array(peer).max(shapes.MAX_ITEMS),
    }),
    result: zod.object({
      from: peer,
      generations: zod.array(generation).max(shapes.MAX_ENVIRONMENTS),
      news: zod.array(peer).max(shapes.MAX_ITEMS),
      /** Age of the last confirmation by the platform; absent if never. */
      confirmedAgeMs: shapes.milliseconds.optional(),
      /** Age of the last sign of life from each zone. */
      zoneAgesMs: zod.record(zod.string(), shapes.milliseconds),
      /**
       * The change to the receiver's configuration if the caller's is older.
       */
      change: configurationChange.optional(),
    }),
  },
  /** Fetches the change from `haveGeneration`, or the whole configuration. */
  fetch_sections: {
    params: zod.object({
      environment: shapes.name,
      haveGeneration: shapes.count.optional(),
    }),
    result: zod.object({change: configurationChange.optional()}),
  },
  /**
   * Reports to operators which generation is active, and whether new work is
   * taken.
   */
  report_generation: {
    params: zod.object({environment: shapes.name}),
    result: zod.object({
      from: peer,
      generation: shapes.count.optional(),
      standing,
    }),
  },
  /**
   * Lists the instances that the receiver knows, for an instance that joins.
   */
  list_peers: {
    params: zod.object({}),
    result: zod.object({peers: zod.array(peer).max(shapes.MAX_ITEMS)}),
  },
  /** Sends copies of `owner`'s pending bills to an instance in another zone. */
  copy_bills: {
    params: zod.object({
      owner: shapes.name,
      bills: zod.array(zod.unknown()).max(shapes.MAX_ITEMS),
      /**
       * Lanes already written to the object API, whose copies can be deleted.
       */
      writtenLanes: zod.array(shapes.name).max(shapes.MAX_ITEMS),
    }),
    result: zod.object({accepted: shapes.count}),
  },
  /** Fetches the copies of `owner`'s bills that the receiver stores. */
  fetch_bills: {
    params: zod.object({owner: shapes.name}),
    result: zod.object({bills: zod.array(zod.unknown())}),
  },
  /** Collects events of the receiver's time line, oldest first. */
  collect_events: {
    params: zod.object({
      /** -1 for all events that the receiver still has. */
      afterSequence: zod.number().int().min(-1),
      limit: shapes.count.max(shapes.MAX_ITEMS),
      filter: zod.record(zod.string(), zod.string()).optional(),
    }),
    result: zod.object({
      events: zod.array(zod.unknown()).max(shapes.MAX_ITEMS),
      /** Sequence of the last event examined; pass it as `afterSequence`. */
      lastSequence: zod.number().int().min(-1),
    }),
  },
  /** Fetches the receiver's counts of a rollout's two versions. */
  fetch_evidence: {
    params: zod.object({rollout: shapes.name}),
    result: zod.object({
      /** Identifies the receiver's start; its counters begin at 0 there. */
      incarnation: shapes.name,
      old: shapes.versionCounts,
      new: shapes.versionCounts,
    }),
  },
  /** Asks the issuer of an upstream in cold start for slots. */
  request_grant: {
    params: zod.object({
      upstream: shapes.name,
      instance: shapes.name,
      wanted: shapes.count,
      inFlight: shapes.count,
      /** Time since the upstream became cold, as the caller knows it. */
      ageMs: shapes.milliseconds,
      coldSlots: shapes.count,
      fullSlots: shapes.count,
      warmMs: shapes.milliseconds,
    }),
    result: zod.object({slots: shapes.count, termMs: shapes.milliseconds}),
  },
  /** Asks whether a claim that the receiver made is void. */
  describe_claim: {
    params: zod.object({incarnation: shapes.name, owner: shapes.name}),
    result: zod.object({state: zod.enum(['void', 'in_use', 'no_answer'])}),
  },
  /** Sends a gateway instance's report; the result is the receiver's. */
  exchange_reports: {
    params: fleetMessages.fleetReport,
    result: fleetMessages.fleetReport,
  },
  /** Fetches all objects of a kind as the receiver knows them. */
  fetch_view: {
    params: zod.object({kind: shapes.name}),
    result: zod.object({
      /** Absent if the receiver has no view of the kind. */
      view: zod
        .object({
          version: shapes.count,
          ageMs: shapes.milliseconds,
          objects: zod.array(fleetMessages.viewObject),
        })
        .optional(),
    }),
  },
  /**
   * Waits until the receiver's views differ from the caller's, or for `waitMs`,
   * and returns the changes.
   */
  await_views: {
    params: zod.object({
      known: zod
        .array(
          zod.object({
            kind: shapes.name,
            version: shapes.count,
            digest: shapes.name,
          }),
        )
        .max(shapes.MAX_ENVIRONMENTS),
      waitMs: shapes.milliseconds,
      report: fleetMessages.followerReport.optional(),
    }),
    result: zod.object({
      /** How long the receiver held the call before it read its views. */
      heldMs: shapes.milliseconds,
      views: zod
        .array(
          fleetMessages.viewState.extend({
            step: fleetMessages.viewDelta.optional(),
          }),
        )
        .max(shapes.MAX_ENVIRONMENTS),
      /** Present if the caller sent a report. */
      summary: fleetMessages.fleetSummary.optional(),
      /** For an instance that starts, which sends no report. */
      suspectParts: fleetMessages.suspectParts.optional(),
      /** For an instance that starts. */
      absences: fleetMessages.upstreamAbsences.optional(),
    }),
  },
  /** Lists the parts of prompts that are held, and lifts one for operators. */
  held_parts: {
    params: zod.object({lift: shapes.name.optional()}),
    result: zod.object({
      parts: zod
        .array(
          zod.object({
            part: shapes.name,
            workspace: zod.string().max(shapes.MAX_NAME_LENGTH),
            heldForMs: shapes.milliseconds,
            /** Upstreams that ended under it, with their starts. */
            upstreams: zod.array(shapes.name).max(shapes.MAX_ITEMS).readonly(),
          }),
        )
        .max(shapes.MAX_ITEMS),
      /** Whether the part to lift was held; absent if none was named. */
      wasHeld: zod.boolean().optional(),
    }),
  },
  /** Tells at once of new evidence about parts that end upstreams. */
  share_suspect_parts: {
    params: zod.object({parts: fleetMessages.suspectParts}),
    result: zod.object({}),
  },
  /** Tells at once of upstreams that were away, or answer again. */
  share_absences: {
    params: zod.object({absences: fleetMessages.upstreamAbsences}),
    result: zod.object({}),
  },
  /** Tells at once of versions that an instance has judged bad. */
  share_rollouts: {
    params: zod.object({
      rollouts: zod.array(fleetMessages.rolloutProgress).max(shapes.MAX_ITEMS),
    }),
    result: zod.object({}),
  },
  /** Announces that an instance leaves and must not be offered to callers. */
  leaving: {
    params: zod.object({from: peer}),
    result: zod.object({}),
  },
} as const;

type Schemas = typeof schemas;

/** Name of a message between instances. */
export type MethodName = keyof Schemas;

/** Parameters and result of each message. */
export type Methods = {
  readonly [M in MethodName]: {
    readonly params: zod.infer<Schemas[M]['params']>;
    readonly result: zod.infer<Schemas[M]['result']>;
  };
};

/** Parameters of a message. */
export type Params<M extends MethodName> = Methods[M]['params'];

/** Result of a message. */
export type Result<M extends MethodName> = Methods[M]['result'];

/** One instance as its peers know it. */
export type Peer = Readonly<zod.infer<typeof peer>>;

/** Liveness of an instance as its peers know it. */
export type PeerState = Peer['state'];

/** Generation of the active configuration of an environment. */
export type Generation = Readonly<zod.infer<typeof generation>>;

/** What an instance knows of its configuration. */
export type Standing = zod.infer<typeof standing>;

/** The difference between one configuration and a later one. */
export type ConfigurationChange = Readonly<
  zod.infer<typeof configurationChange>
>;
