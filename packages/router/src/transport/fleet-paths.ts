/** Paths of the calls between daemons. */
export const fleetPaths = {
  hello: '/hello',
  sync: '/sync',
  announce: '/announce',
  propose: '/propose',
  readIndex: '/index',
  requestRemoval: '/removal',
  requestVote: '/raft/vote',
  appendEntries: '/raft/entries',
  installSnapshot: '/raft/snapshot',
  readSender: '/raft/sender',
} as const;
