import { z } from 'zod';
import { address } from './address.js';
import { keyList } from './key-list.js';
import { name } from './name.js';

/** Schema fields common to the settings of all processes. */
export const processSettings = {
  id: name,
  vm: name,
  dataCentre: name,
  /** IP and port to listen on. */
  address,
  /** Keys accepted from peers; the process sends the first one in its own connections. */
  peerKeys: keyList,
  operatorKeys: keyList,
  /** Paths of PEM files; when set, all servers and clients of the process use TLS. */
  tls: z
    .strictObject({
      certificateFile: z.string().min(1),
      keyFile: z.string().min(1),
      /** CA certificates against which peers' certificates are verified. */
      caFile: z.string().min(1),
    })
    .optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
};
