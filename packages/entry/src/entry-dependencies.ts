/** Dependencies and settings of the caller-facing server. */
import type * as crypto from 'node:crypto';
import type * as configuration from '@amaranthknot/configuration';
import type * as decisions from '@amaranthknot/decisions';
import type * as ledger from '@amaranthknot/ledger';
import type * as ports from '@amaranthknot/ports';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as upstreams from '@amaranthknot/upstreams';
import type * as admissionController from './admission-controller.js';
import type * as chatRunner from './chat-runner.js';
import type * as rolloutCounters from './rollout-counters.js';

/** The configuration that requests are accepted by. */
export interface ActiveConfiguration {
  readonly environment: string;
  readonly generation: number;
  readonly digest: string;
  readonly document: configuration.Document;
}

/** An address offered to callers. */
export interface EntryAddress {
  readonly address: string;
  readonly zone: string;
}

/** Limits of the caller-facing server. */
export interface EntryLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Timeout of a request's head, in milliseconds. */
  readonly headerTimeoutMs: number;
  readonly requestTimeoutMs: number;
  /** Cache lifetime of answers of `/v1/entry-instances`, in milliseconds. */
  readonly addressMaxAgeMs: number;
  /** Time that a graceful stop waits for requests, in milliseconds. */
  readonly stopGraceMs: number;
}

/** A complete answer with its text, as offered for rating. */
export interface DeliveredAnswer {
  readonly call: chatRunner.ChatCall;
  readonly answer: chatRunner.ChatAnswer;
  readonly text: string;
}

/**
 * Chooses an upstream for one attempt of a chat stage, none of `tried`;
 * undefined if there is none.
 */
export type StagePlacer = (
  run: chatRunner.StageRun,
  tried: readonly string[],
) => upstreams.Placement | undefined;

/** Chooses an upstream of a plain service; undefined if there is none. */
export type ServicePlacer = (
  service: string,
) => upstreams.Placement | undefined;

/** Dependencies and settings of an `EntryServer`. */
export interface EntryDependencies {
  readonly instanceId: string;
  readonly listen: {readonly host: string; readonly port: number};
  readonly zone: string;
  readonly limits: EntryLimits;
  readonly clock: ports.Clock;
  readonly random: () => number;
  readonly newId: () => string;
  readonly sessionKey: crypto.KeyObject;
  readonly operatorDigest: string;
  readonly innerKey: string;
  /** Undefined before the first configuration and when it is too old to use. */
  readonly activeConfiguration: () => ActiveConfiguration | undefined;
  /**
   * Addresses for callers, best first; without this instance while it leaves.
   */
  readonly listAddresses: (zone?: string) => readonly EntryAddress[];
  readonly admission: admissionController.AdmissionController;
  readonly cascades: decisions.CascadePolicy;
  /** Version that a rollout assigns to a session without a pin. */
  readonly assignVersion: (
    model: string,
    sessionKey: string,
  ) => string | undefined;
  /** Pins a session with a caller's own id; returns an earlier pin if any. */
  readonly pinVersion: (
    workspace: string,
    sessionId: string,
    model: string,
    version: string,
  ) => Promise<string>;
  readonly placeStage: StagePlacer;
  readonly placeService: ServicePlacer;
  /**
   * When callers should return for a target, in ms from now, if all its live
   * upstreams asked for a backoff; undefined otherwise.
   */
  readonly findRetryAfterMs: (target: string) => number | undefined;
  readonly openEngine: upstreams.OpenEngineStream;
  readonly callService: upstreams.ServiceClient;
  /** Records a first attempt, which adds to the retry budget. */
  readonly recordAttempt: (model: string) => void;
  readonly mayRetry: (model: string) => boolean;
  readonly claims: ledger.ClaimLedger;
  readonly bills: ledger.BillLedger;
  readonly events: telemetry.EventRing;
  readonly metrics: telemetry.Metrics;
  readonly logger: telemetry.Logger;
  /** Handles a message from another entry instance; returns the answer. */
  readonly handlePeer: (text: string) => Promise<string>;
  /** State of this instance for operators; sent as JSON. */
  readonly describeState: () => object;
  /** Offers an answer to the sampler of answers for rating. */
  readonly offerForRating: (answer: DeliveredAnswer) => void;
  /** Records that an upstream refused an attempt because it is cold. */
  readonly recordColdRefusal: (upstream: string) => void;
  /** Counts an observation of a version that a rollout may concern. */
  readonly recordObservation: (
    model: string,
    version: string,
    observation: rolloutCounters.VersionObservation,
  ) => void;
}
