/**
 * Decision modules for behaviour under load. They do no I/O; time and random
 * numbers are passed in.
 *
 * Some questions are answered by two modules, as entry instances (`serve`) and
 * gateway instances (`gateway`) work differently. In each of these pairs the
 * first is for entry instances: `placement` and `upstream-picker`,
 * `cascade-policy` and `model-choice`, `rollout-evaluation` and
 * `rollout-schedule`, `warm-up` and `cold-share`, `retry-budget` and
 * `repeat-budget`.
 */
export * from './absence-signs.js';
export * from './admission-queue.js';
export * from './admission-outcome.js';
export * from './announced-values.js';
export * from './answer-end.js';
export * from './answer-framing.js';
export * from './cascade-policy.js';
export * from './cascade-plan.js';
export * from './cold-detector.js';
export * from './cold-share.js';
export * from './cold-starts.js';
export * from './concurrency-shares.js';
export * from './configuration-freshness.js';
export * from './demand-meter.js';
export * from './choose-addresses.js';
export * from './choose-forward-peer.js';
export * from './expiry-queue.js';
export * from './fair-queue.js';
export * from './fleet-sends.js';
export * from './forward-admission.js';
export * from './hash-ring.js';
export * from './hot-keys.js';
export * from './latency-estimates.js';
export * from './leaving-notices.js';
export * from './logistic-regression.js';
export * from './model-choice.js';
export * from './moving-estimate.js';
export * from './news-origin.js';
export * from './parse-amount.js';
export * from './part-quarantine.js';
export * from './part-row.js';
export * from './pick-request.js';
export * from './placement.js';
export * from './placement-pool.js';
export * from './quality-price.js';
export * from './rate-limits.js';
export * from './prefill-backlog.js';
export * from './prefill-priority.js';
export * from './read-lateness.js';
export * from './read-pace.js';
export * from './rendezvous.js';
export * from './repeat-allowance.js';
export * from './repeat-budget.js';
export * from './retry-after.js';
export * from './retry-budget.js';
export * from './rollout-evidence.js';
export * from './rollout-evaluation.js';
export * from './rollout-schedule.js';
export * from './sample.js';
export * from './scarcity-meter.js';
export * from './send-window.js';
export * from './sequential-test.js';
export * from './instance-share.js';
export * from './sliding-count.js';
export * from './slot-pool.js';
export * from './stage-belief.js';
export * from './standing-queue.js';
export * from './stream-pace.js';
export * from './unused-repeats.js';
export * from './upstream-absences.js';
export * from './upstream-backoffs.js';
export * from './upstream-links.js';
export * from './upstream-load.js';
export * from './upstream-picker.js';
export * from './upstream-stats.js';
export * from './median-latencies.js';
export * from './memory-budget.js';
export * from './wait-policy.js';
export * from './warm-up.js';
export * from './watch-roles.js';
export * from './workspace-queue.js';
export * from './zone-policy.js';
