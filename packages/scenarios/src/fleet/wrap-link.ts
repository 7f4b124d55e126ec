import type { Link } from '@vanillarelay/link';
import type { Mechanism } from './mechanism.js';

/** Wraps the link of a daemon so that the disabled mechanisms have no effect. */
export function wrapLink(link: Link, without: ReadonlySet<Mechanism>): Link {
  if (without.size === 0) return link;
  const readView: Link['readView'] = () => {
    const view = link.readView();
    if (!view.state) return view;
    const state = { ...view.state };
    if (without.has('takeOut')) state.dataCentresOut = [];
    if (without.has('draining')) state.draining = [];
    if (without.has('marks')) state.marks = [];
    return { ...view, state };
  };
  const readContact: Link['readContact'] = () =>
    without.has('contact') && link.readView().state ? 'attached' : link.readContact();
  return { ...link, readView, readContact };
}
