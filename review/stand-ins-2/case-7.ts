/** Case 7: the engine that crashed is back under its id. */
import * as playSuspension from './play-suspension.js';
import * as runCase from './run-case.js';

runCase.runCase((system, hasTrouble) =>
  playSuspension.playSuspension(system, hasTrouble, {
    nameAfter: id => id,
    behaviour: {},
  }),
);
