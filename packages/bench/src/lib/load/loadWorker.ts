/** Entry point of the worker thread that sends the requests of a load. */
import {parentPort, workerData} from 'node:worker_threads';
import {runLoad} from './runLoad.js';
import type {LoadWorkerData} from './runLoadInWorker.js';

const {target, keys, arrivals} = workerData as LoadWorkerData;
const records = await runLoad(
  {...target, getKey: customer => keys[customer] ?? ''},
  arrivals,
);
parentPort?.postMessage(records);
