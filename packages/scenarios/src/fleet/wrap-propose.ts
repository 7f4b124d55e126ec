import type { ControlClient } from '@vanillarelay/core';
import type { Mechanism } from './mechanism.js';

type Propose = ControlClient['propose'];

/** Wraps a proposer so that it grants commands of disabled mechanisms without proposing them. */
export function wrapPropose(propose: Propose, without: ReadonlySet<Mechanism>): Propose {
  const isSkipped = (type: string) =>
    (without.has('claims') && ['claim', 'complete', 'abandon'].includes(type)) ||
    (without.has('voids') && type === 'void');
  return async (command, signal) => {
    if (isSkipped(command.type)) return { ok: true, index: 0, value: { granted: true } };
    if (command.type !== 'batch' || !command.commands.some(({ type }) => isSkipped(type))) {
      return propose(command, signal);
    }
    const value = command.commands.map(() => ({ ok: true, index: 0, value: { granted: true } }));
    return { ok: true, index: 0, value };
  };
}
