import { z } from 'zod';
import { address } from './address.js';
import { keyList } from './key-list.js';
import { name } from './name.js';

/** Schema fields that every process's settings share. */
export const processSettings = {
  id: name,
  vm: name,
  dataCentre: name,
  /** IP and port to listen on. */
  address,
  /** Keys accepted from peers; the first one is presented. */
  peerKeys: keyList,
  operatorKeys: keyList,
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
};
