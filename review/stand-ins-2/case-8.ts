/** Case 8: the engine that crashed is back under another id, and slow at first. */
import * as playSuspension from './play-suspension.js';
import * as runCase from './run-case.js';

runCase.runCase((system, hasTrouble) =>
  playSuspension.playSuspension(system, hasTrouble, {
    nameAfter: id => `${id}-again`,
    behaviour: {slowMs: 400},
  }),
);
