import {addTroubleTests, installSimulatedClock} from './coldFleetReplay.js';

installSimulatedClock();
addTroubleTests(2);
