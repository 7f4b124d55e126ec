import type {
  GossipMessage,
  GossipReply,
  RaftPeer,
  ReplicatedStore,
  Rollout,
} from '@vanillarelay/control';
import {
  RelayError,
  ResultCode,
  toRefusal,
  type Command,
  type CommandResult,
  type ConfigChange,
  type DaemonState,
  type Frame,
  type Member,
  type QuorumReport,
  type Refusal,
  type Report,
  type TimelineEvent,
} from '@vanillarelay/core';
import { initTRPC, TRPCError } from '@trpc/server';
import { z } from 'zod';
import type { ControlContext } from './control-context.js';
import type { ListedDaemon } from './listed-daemon.js';
import { commandSchema } from './command-schema.js';
import { gossipSchema } from './gossip-schema.js';
import { raftSchema } from './raft-schema.js';
import { reportSchema } from './report-schema.js';

/** Implementation of the calls that the router exposes over tRPC. */
interface ControlHandlers {
  exchange(report: Report, signal: AbortSignal): Promise<Frame>;
  readQuorum(stateVersion: number): QuorumReport;
  gossip(message: GossipMessage): GossipReply;
  propose(command: Command): Promise<CommandResult>;
  raft: RaftPeer;
  replaceMember: ReplicatedStore['replaceMember'];
  readGroup: ReplicatedStore['readStatus'];
  readState(): DaemonState;
  readRollout(): Rollout;
  listDaemons(): ListedDaemon[];
  listTimeline(): TimelineEvent[];
  listHistory(): ConfigChange[];
  listEndpoints(): (Member & { running: number })[];
}

/** Creates the tRPC router of a control node. */
export function createControlRouter(handlers: ControlHandlers) {
  const { raft } = handlers;
  const t = initTRPC.context<ControlContext>().create({
    isDev: false,
    errorFormatter: ({ shape, error }) => ({
      ...shape,
      data: { code: shape.data.code, refusal: buildRefusal(error) },
    }),
  });
  const peerProcedure = t.procedure.use(({ ctx, next }) => {
    if (ctx.role !== 'peer') throw new TRPCError({ code: 'FORBIDDEN' });
    return next();
  });
  return t.router({
    exchange: peerProcedure
      .input(reportSchema.report)
      .mutation(({ input, signal }) => handlers.exchange(input, readSignal(signal))),
    readQuorum: peerProcedure
      .input(z.strictObject({ stateVersion: reportSchema.count }))
      .query(({ input }) => handlers.readQuorum(input.stateVersion)),
    gossip: peerProcedure.input(gossipSchema).mutation(({ input }) => handlers.gossip(input)),
    propose: t.procedure.input(commandSchema).mutation(({ ctx, input }) => {
      // Only agents and entries may send commands for records, marks and permits, which have no
      // `changeId`.
      if (ctx.role !== 'peer' && !('changeId' in input)) throw new TRPCError({ code: 'FORBIDDEN' });
      return handlers.propose(input);
    }),
    raft: t.router({
      requestVote: peerProcedure
        .input(raftSchema.vote)
        .mutation(({ input, signal }) => raft.requestVote(input, readSignal(signal))),
      appendEntries: peerProcedure
        .input(raftSchema.append)
        .mutation(({ input, signal }) => raft.appendEntries(input, readSignal(signal))),
      installSnapshot: peerProcedure
        .input(raftSchema.snapshot)
        .mutation(({ input, signal }) => raft.installSnapshot(input, readSignal(signal))),
      readSender: peerProcedure.query(({ signal }) => raft.readSender(readSignal(signal))),
    }),
    replaceMember: t.procedure
      .input(raftSchema.replacement)
      .mutation(({ input }) => handlers.replaceMember(input)),
    readGroup: t.procedure.query(() => handlers.readGroup()),
    readState: t.procedure.query(() => handlers.readState()),
    readRollout: t.procedure.query(() => handlers.readRollout()),
    listDaemons: t.procedure.query(() => handlers.listDaemons()),
    listHistory: t.procedure.query(() => handlers.listHistory()),
    listEndpoints: t.procedure.query(() => handlers.listEndpoints()),
    readTimeline: t.procedure.query(() => handlers.listTimeline()),
  });
}

function readSignal(signal: AbortSignal | undefined): AbortSignal {
  return signal ?? new AbortController().signal;
}

/** Messages that are refused by a schema or for their role have certainly not run. */
function buildRefusal(error: TRPCError): Refusal {
  if (error.cause instanceof RelayError) return toRefusal(error.cause);
  if (error.code === 'BAD_REQUEST' || error.code === 'PARSE_ERROR') {
    return { code: ResultCode.malformedMessage, message: error.message, notRun: true };
  }
  if (error.code === 'FORBIDDEN' || error.code === 'UNAUTHORIZED') {
    return { code: ResultCode.strangerRefused, message: error.message, notRun: true };
  }
  return { code: ResultCode.internal, message: error.message, notRun: false };
}
