/**
 * Messages between entry instances: for each method the shape of its
 * parameters and of its result. Schemas check what arrives; types are derived
 * from them. Both ends may run neighbouring releases during a roll-out of the
 * product itself, so fields that a receiver does not know are ignored.
 */
import * as zod from 'zod';
import * as fleetMessages from './fleet-messages.js';
import * as shapes from './shapes.js';

/**
 * What is known of an instance's life: `suspect` failed to answer someone and
 * has not yet shown life; `dead` stayed suspect for too long.
 */
const peerState = zod.enum(['live', 'leaving', 'suspect', 'dead']);

/** One instance as its peers know it. */
const peer = zod.object({
  id: shapes.name,
  /** `host:port`, the host an IP address. */
  address: shapes.name,
  zone: shapes.name,
  state: peerState,
  /** Set by the instance itself; the higher one wins. */
  incarnation: shapes.count,
});

/**
 * Which configuration is in force for an environment. The digest is left out:
 * one conditional update makes each generation, so the number says it all, at
 * a sixth of the bytes of a message that every instance sends each second.
 */
const generation = zod.object({
  environment: shapes.name,
  generation: shapes.count,
});

/**
 * What an instance knows of its configuration: `confirmed` by the platform
 * lately; `platform_out` while most zones are heard and none reaches the
 * platform; `isolated` when it can not tell; `starting` before it has any.
 */
const standing = zod.enum([
  'starting',
  'confirmed',
  'platform_out',
  'isolated',
]);

/**
 * A named part of an environment's document, and the generation that last
 * changed it. Its digest is left out, as the receiver works it out from the
 * content anyway to check the whole.
 */
const section = zod.object({
  name: shapes.name,
  generation: shapes.count,
  content: zod.unknown(),
});

/** A part that is no more, and the generation that removed it. */
const removedSection = zod.object({
  name: shapes.name,
  generation: shapes.count,
});

/**
 * The step from one configuration to a later one. `baseGeneration` is absent
 * when `sections` are all there are.
 */
const configurationChange = zod.object({
  environment: shapes.name,
  generation: shapes.count,
  /** Digest of the manifest after the step. */
  digest: shapes.name,
  baseGeneration: shapes.count.optional(),
  /** Generation from which the sender knows all changes. */
  since: shapes.count,
  sections: zod.array(section).max(shapes.MAX_ITEMS),
  removed: zod.array(removedSection).max(shapes.MAX_ITEMS),
});

/** Schemas of parameters and results by method. */
export const schemas = {
  /** Tells what is in force here; answers the same, and newer sections. */
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
      /** Age of the last confirmation by the platform; absent for never. */
      confirmedAgeMs: shapes.milliseconds.optional(),
      /** Age of the last sign of life from each zone. */
      zoneAgesMs: zod.record(zod.string(), shapes.milliseconds),
      /** The step to this instance's configuration when the caller's is older. */
      change: configurationChange.optional(),
    }),
  },
  /** Fetches the step from `haveGeneration`, or the whole configuration. */
  fetch_sections: {
    params: zod.object({
      environment: shapes.name,
      haveGeneration: shapes.count.optional(),
    }),
    result: zod.object({change: configurationChange.optional()}),
  },
  /** Tells operators what is in force, and whether new work is taken. */
  report_generation: {
    params: zod.object({environment: shapes.name}),
    result: zod.object({
      from: peer,
      generation: shapes.count.optional(),
      standing,
    }),
  },
  /** Lists the instances that the receiver knows, for one that joins. */
  list_peers: {
    params: zod.object({}),
    result: zod.object({peers: zod.array(peer).max(shapes.MAX_ITEMS)}),
  },
  /** Copies pending bills of `owner` to an instance in another zone. */
  copy_bills: {
    params: zod.object({
      owner: shapes.name,
      bills: zod.array(zod.unknown()).max(shapes.MAX_ITEMS),
      /** Lanes that are in the object API, whose copies can go. */
      writtenLanes: zod.array(shapes.name).max(shapes.MAX_ITEMS),
    }),
    result: zod.object({accepted: shapes.count}),
  },
  /** Fetches the copies of bills that the receiver keeps for `owner`. */
  fetch_bills: {
    params: zod.object({owner: shapes.name}),
    result: zod.object({bills: zod.array(zod.unknown())}),
  },
  /** Collects events of the receiver's time line, oldest first. */
  collect_events: {
    params: zod.object({
      /** -1 for all that the receiver still has. */
      afterSequence: zod.number().int().min(-1),
      limit: shapes.count.max(shapes.MAX_ITEMS),
      filter: zod.record(zod.string(), zod.string()).optional(),
    }),
    result: zod.object({
      events: zod.array(zod.unknown()).max(shapes.MAX_ITEMS),
      /** Sequence of the last event looked at; pass it as `afterSequence`. */
      lastSequence: zod.number().int().min(-1),
    }),
  },
  /** Fetches what the receiver counted of a roll-out's two versions. */
  fetch_evidence: {
    params: zod.object({rollout: shapes.name}),
    result: zod.object({
      /** Names the receiver's start; its counters begin at 0 there. */
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
      /** Time since the upstream turned cold, as the asker knows it. */
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
  /** Tells what a gateway instance knows; answers the same. */
  exchange_reports: {
    params: fleetMessages.fleetReport,
    result: fleetMessages.fleetReport,
  },
  /** Fetches all objects of a kind as the receiver knows them. */
  fetch_view: {
    params: zod.object({kind: shapes.name}),
    result: zod.object({
      /** Absent where the receiver knows nothing of the kind. */
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
   * Waits until the receiver's views differ from the asker's, or for a while,
   * and brings what is new.
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
      /** Present where the asker reported. */
      summary: fleetMessages.fleetSummary.optional(),
    }),
  },
  /** Says that an instance leaves and must not be offered to callers. */
  leaving: {
    params: zod.object({from: peer}),
    result: zod.object({}),
  },
} as const;

type Schemas = typeof schemas;

/** Name of a message between entry instances. */
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

/** What is known of an instance's life. */
export type PeerState = Peer['state'];

/** Which configuration is in force for an environment. */
export type Generation = Readonly<zod.infer<typeof generation>>;

/** What an instance knows of its configuration. */
export type Standing = zod.infer<typeof standing>;

/** The step from one configuration to a later one. */
export type ConfigurationChange = Readonly<
  zod.infer<typeof configurationChange>
>;
