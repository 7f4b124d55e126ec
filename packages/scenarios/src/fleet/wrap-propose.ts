import type { ControlClient } from '@vanillarelay/core';
import type { Mechanism } from './mechanism.js';

type Propose = ControlClient['propose'];

/** A proposer that grants what a fleet without some mechanisms would not ask for. */
export function wrapPropose(propose: Propose, without: ReadonlySet<Mechanism>): Propose {
  const isFree = (type: string) =>
    (without.has('claims') && ['claim', 'complete', 'abandon'].includes(type)) ||
    (without.has('voids') && type === 'void');
  return async (command, signal) => {
    if (isFree(command.type)) return { ok: true, index: 0, value: { granted: true } };
    if (command.type !== 'batch' || !command.commands.some(({ type }) => isFree(type))) {
      return propose(command, signal);
    }
    const value = command.commands.map(() => ({ ok: true, index: 0, value: { granted: true } }));
    return { ok: true, index: 0, value };
  };
}
