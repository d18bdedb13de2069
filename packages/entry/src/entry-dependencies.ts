/** What the caller-facing server is built from; the wiring passes it in. */
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

/** The configuration that this instance works by. */
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

/** Bounds of the caller-facing server. */
export interface EntryLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Longest time for a request's head, in milliseconds. */
  readonly headerTimeoutMs: number;
  readonly requestTimeoutMs: number;
  /** How long callers may keep an answer of `/v1/entry-instances`. */
  readonly addressMaxAgeMs: number;
  /** Longest wait for requests in progress at a planned stop. */
  readonly stopGraceMs: number;
}

/** An answer that a caller got. */
export interface DeliveredAnswer {
  readonly call: chatRunner.ChatCall;
  readonly answer: chatRunner.ChatAnswer;
  readonly text: string;
}

/** Where one attempt of a chat stage may run. */
export type StagePlacer = (
  run: chatRunner.StageRun,
  tried: readonly string[],
) => upstreams.Placement | undefined;

/** Where a plain service may be called; undefined when nowhere. */
export type ServicePlacer = (
  service: string,
) => upstreams.Placement | undefined;

/** Everything the server needs. */
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
  /** Undefined until a first configuration, or when it is too old to act on. */
  readonly activeConfiguration: () => ActiveConfiguration | undefined;
  /** Addresses for callers, best first; never this one when it is leaving. */
  readonly listAddresses: (zone?: string) => readonly EntryAddress[];
  readonly admission: admissionController.AdmissionController;
  readonly cascades: decisions.CascadePolicy;
  /** Version that a roll-out gives to a session that has none. */
  readonly assignVersion: (
    model: string,
    sessionKey: string,
  ) => string | undefined;
  /** Version that a caller's own session id keeps, or takes from now on. */
  readonly pinVersion: (
    workspace: string,
    sessionId: string,
    model: string,
    version: string,
  ) => Promise<string>;
  readonly placeStage: StagePlacer;
  readonly placeService: ServicePlacer;
  readonly openEngine: upstreams.OpenEngineStream;
  readonly callService: upstreams.ServiceClient;
  /** Notes a first attempt, which earns a part of a retry. */
  readonly recordAttempt: (model: string) => void;
  readonly mayRetry: (model: string) => boolean;
  readonly claims: ledger.ClaimLedger;
  readonly bills: ledger.BillLedger;
  readonly events: telemetry.EventRing;
  readonly metrics: telemetry.Metrics;
  readonly logger: telemetry.Logger;
  /** Answers a message of another entry instance. */
  readonly handlePeer: (text: string) => Promise<string>;
  /** State for operators, as JSON. */
  readonly describeState: () => object;
  /** Notes an answer that was given, so that some of them are rated. */
  readonly offerForRating: (answer: DeliveredAnswer) => void;
  /** Notes that an upstream refused as in cold start. */
  readonly recordColdRefusal: (upstream: string) => void;
  /** Counts what a version did, for a roll-out that may be about it. */
  readonly recordObservation: (
    model: string,
    version: string,
    observation: rolloutCounters.VersionObservation,
  ) => void;
}
