import type { ContactReport, DaemonState, DataCentreId } from '@vanillarelay/core';

interface PeerObservations {
  reports: readonly ContactReport[];
  state: DaemonState | undefined;
  ownDataCentre: DataCentreId | undefined;
}

/**
 * Whether peers in every other data centre that is not taken out observe no quorum either. At
 * least one peer must have answered, so that a daemon cut off alone in a fleet of one data centre
 * does not count as a witness for itself.
 */
export function isQuorumLost({ reports, state, ownDataCentre }: PeerObservations): boolean {
  if (!state) return false;
  if (reports.some(({ sees }) => sees === 'quorum')) return false;
  const witnesses = reports.filter(({ sees }) => sees === 'nothing' || sees === 'quorumLost');
  if (witnesses.length === 0) return false;
  const seen = new Set(witnesses.map(({ dataCentre }) => dataCentre));
  return Object.keys(state.config.dataCentres).every((id) => {
    const dataCentre = id as DataCentreId;
    return (
      dataCentre === ownDataCentre ||
      state.dataCentresOut.includes(dataCentre) ||
      seen.has(dataCentre)
    );
  });
}
