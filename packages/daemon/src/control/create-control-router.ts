import type {
  Command,
  CommandResult,
  ConfigChange,
  DaemonState,
  Frame,
  Member,
  Report,
  TimelineEvent,
} from '@vanillarelay/core';
import { initTRPC, TRPCError } from '@trpc/server';
import { z } from 'zod';
import type { ControlContext } from './control-context.js';

/** What a control node answers; the router below puts it on the wire. */
interface ControlHandlers {
  exchange(report: Report, signal: AbortSignal): Promise<Frame>;
  propose(command: Command): Promise<CommandResult>;
  readState(): DaemonState;
  listDaemons(): { daemon: string; version: number; seenAt: number; address: string }[];
  listTimeline(): TimelineEvent[];
  listHistory(): ConfigChange[];
  listEndpoints(): (Member & { running: number })[];
}

const defineObject = <T>() => z.custom<T>((value) => typeof value === 'object' && value !== null);

/** Makes the tRPC router of a control node. */
export function createControlRouter(handlers: ControlHandlers) {
  const t = initTRPC.context<ControlContext>().create();
  const peerProcedure = t.procedure.use(({ ctx, next }) => {
    if (ctx.role !== 'peer') throw new TRPCError({ code: 'FORBIDDEN' });
    return next();
  });
  return t.router({
    exchange: peerProcedure
      .input(defineObject<Report>())
      .mutation(({ input, signal }) =>
        handlers.exchange(input, signal ?? new AbortController().signal),
      ),
    propose: t.procedure
      .input(defineObject<Command>())
      .mutation(({ input }) => handlers.propose(input)),
    readState: t.procedure.query(() => handlers.readState()),
    listDaemons: t.procedure.query(() => handlers.listDaemons()),
    listHistory: t.procedure.query(() => handlers.listHistory()),
    listEndpoints: t.procedure.query(() => handlers.listEndpoints()),
    readTimeline: t.procedure.query(() => handlers.listTimeline()),
  });
}
