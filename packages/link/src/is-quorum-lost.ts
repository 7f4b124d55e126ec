import type { ContactReport, DaemonState, DataCentreId } from '@vanillarelay/core';

interface PeerObservations {
  reports: readonly ContactReport[];
  state: DaemonState | undefined;
  ownDataCentre: DataCentreId | undefined;
}

/**
 * Whether peers in every other data centre that is not taken out observe no quorum either. At least
 * one peer must have replied; otherwise a single daemon that is cut off in a fleet of one data
 * centre would mistake its own isolation for a lost quorum.
 */
export function isQuorumLost({ reports, state, ownDataCentre }: PeerObservations): boolean {
  if (!state) return false;
  if (reports.some(({ sees }) => sees === 'quorum')) return false;
  const lossReports = reports.filter(({ sees }) => sees === 'nothing' || sees === 'quorumLost');
  if (lossReports.length === 0) return false;
  const confirmedBy = new Set(lossReports.map(({ dataCentre }) => dataCentre));
  return Object.keys(state.config.dataCentres).every((id) => {
    const dataCentre = id as DataCentreId;
    return (
      dataCentre === ownDataCentre ||
      state.dataCentresOut.includes(dataCentre) ||
      confirmedBy.has(dataCentre)
    );
  });
}
