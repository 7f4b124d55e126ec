/** Every event that a router daemon logs, with its meaning. */
export const logEvents = {
  'process.starting': 'the settings were read',
  'process.started': 'all ports are open',
  'process.stopping': 'a signal asked the process to stop; the readiness check fails from now on',
  'process.stopped': 'the process exits; the line counts the requests that were still running',
  'settings.reloaded': 'the settings file was read again',
  'settings.refused': 'the settings file is not valid; the previous settings stay in force',
  'request.answered': 'the caller received the complete answer of an endpoint',
  'request.refused': 'the request did not run and never will; the caller received a retry time',
  'request.failed': 'the request may have run, but no valid answer was received',
  'request.brokenOff': 'a stream was interrupted and could not be resumed at another endpoint',
  'request.callerLeft':
    'the caller closed its connection first; `leftAfterMs` is when the router noticed it',
  'request.lost':
    'the connection to an endpoint was lost while it ran the request; the endpoint may have crashed',
  'stream.spoilt':
    'bytes of an endpoint are not the next event of a stream; `excerpt` holds the first of them',
  'request.unexpectedError':
    'an attempt ended with an error that no part of the router expects; it counts as failed',
  'process.unexpectedError':
    'an error or rejection that nothing handles reached the process, which goes on',
  'process.failing': 'such errors came so often that the process exits',
  'server.failed': 'a listening server reported an error, such as no free file descriptor',
  'loop.late':
    'the event loop was blocked or short of processor time; `ms` is how late a timer fired',
  'router.late':
    'this router delays requests beyond the smallest objective: not ready until it is in time',
  'router.inTime': 'a router that was late is ready again, after `ms`, for the `reason` named',
  'endpoint.limited':
    'an endpoint named a limit of requests per second for all routers, or names none any more (0)',
  'endpoint.leaving': 'an endpoint said in an answer that it is leaving; it gets no new requests',
  'endpoint.waiting':
    'an endpoint refused a request and named a time, `waitMs`, for which it gets no others from here',
  'endpoint.waitUnreadable': 'an endpoint refused a request and named a time that cannot be read',
  'suspect.blocked':
    'requests with this content or prompt part are refused, since endpoints crashed with them',
  'suspect.probed': 'one request with a blocked content or prompt part is sent, as a test',
  'suspect.cleared': 'a content or prompt part is no longer blocked',
  'rollout.step':
    'this router moves another share of the requests to the version that is rolled out',
  'rollout.judged':
    'the answers to all routers decide a roll-out; the line has the counts that decided',
  'rollout.proposed': 'this hub proposes the end of a roll-out',
  'rollout.notProposed': 'the end of a roll-out could not be proposed; it is proposed again',
  'order.answered':
    "an operator's call was answered after `ms`; with `hasLeft`, its sender had given it up",
  'config.notAccepted': 'this daemon did not acknowledge a valid configuration',
  'config.accepted': 'this daemon acknowledged a configuration',
  'state.inForce': 'this daemon applied a newer shared state',
  'dataCentre.changed': 'this daemon acknowledged taking a data centre out or bringing it back',
  'rollout.started': 'this daemon learned that the roll-out of a version is in progress',
  'rollout.ended':
    'this daemon learned the `outcome` of a roll-out: it was completed or rolled back',
  'endpoint.announced': 'an endpoint announced itself for the first time or with a change',
  'endpoint.left': 'an endpoint reported its departure',
  'endpoint.silent':
    'no daemon received an announcement of an endpoint for several periods; others are preferred',
  'endpoint.notPassedOn':
    "no hub accepted an endpoint's announcement; the next heartbeat carries it",
  'endpoint.invalid':
    'a record of an endpoint was not valid and was left out; `from` names the hub or file it came from',
  'endpoint.contradicted':
    'a record with the id and start of a known endpoint, but another service or address, was left out',
  'endpoints.read': 'endpoints were read from the disk at startup',
  'endpoints.notRead': 'the endpoints could not be read from the disk; the read is retried',
  'endpoints.notKept': 'the endpoints could not be written to the disk; the write is retried',
  'endpoints.unreadable': 'the endpoints file was truncated; endpoints announce themselves again',
  'fleet.current': 'the shared state was confirmed by a quorum for the first time since startup',
  'fleet.hubChosen': 'this daemon now synchronises with another hub',
  'fleet.hubFailed': 'a hub did not answer',
  'fleet.syncFailed': 'an unexpected error interrupted the exchange with the hubs; it is retried',
  'fleet.orderOutdated':
    'an order for a data centre or a roll-out came after a newer one and was dropped; it is sent again while its operator waits',
  'fleet.callFailed':
    "a hub did not carry out an operator's call; the next hub is called until the time is up",
  'fleet.configReceived': 'a configuration that was sent in several parts is complete',
  'fleet.seedFailed': 'a seed did not answer during hub discovery',
  'fleet.relayFailed': 'another hub did not accept an announcement that was received here',
  'fleet.linkLost': 'a hub cannot reach another hub',
  'fleet.linkRegained': 'a hub reaches another hub again',
  'control.diskFailed': 'the Raft log cannot be written; this node leaves the group until it can',
  'control.diskOpened':
    'the Raft log was opened: the identity of its disk, how often, its last entry',
  'control.committed': 'this node, as leader, committed a change of the shared state',
  'control.commitFailed': 'this node, as leader, did not commit a change of the shared state',
  'control.memberAdded': 'a node joined the group as a learner, without a vote',
  'control.memberReplaced':
    'the node on the disk `by` became a voter, after the voter on the disk `lost`, if any, was removed',
  'control.memberRemoved': 'a node that stayed silent was removed from the group',
  'control.left':
    'this node left the group, since its process ends and another voter can do without it',
  'control.stayed':
    'this node keeps its seat in the group although its process ends, for the `reason` named',
  'control.membershipFailed': 'a membership change failed; it is retried',
  'log.removed': 'a damaged or outdated Raft log was found on the disk and removed',
  'log.dropped': 'lines of one event were dropped because it exceeded its rate limit',
  'raft.elected': 'this node became the leader of the group',
  'raft.steppedDown': 'this node is no longer the leader',
  'raft.stopped': 'this node does not participate in the group until its log is opened again',
  'raft.diskReplaced': 'a voter that lost its disk keeps its seat with the new one',
  'raft.learner': 'a node with a different disk receives the log as a learner, without a vote',
  'raft.installed': 'the leader’s snapshot replaced this node’s log',
  'raft.snapshot': 'a snapshot replaced older entries of the log',
  'raft.olderDisk': 'a message was received from a node that runs on an older copy of its disk',
} as const;
