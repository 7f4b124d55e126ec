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
  /** PEM files; when set, all servers and clients of the process use TLS. */
  tls: z
    .strictObject({
      certificateFile: z.string().min(1),
      keyFile: z.string().min(1),
      /** Certificates that peers' certificates are checked against. */
      caFile: z.string().min(1),
    })
    .optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
};
