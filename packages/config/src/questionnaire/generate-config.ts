import { RelayError, ResultCode, type FleetConfig } from '@vanillarelay/core';
import { checkFleetConfig } from '../check-fleet-config.js';
import { buildAccount } from './build-account.js';
import { buildService } from './build-service.js';
import type { Questionnaire } from './questionnaire.js';

/** Maximum share of all model replicas that load weights at once. */
const maxLoadingShare = 1 / 3;

/** Generates the configuration of a fleet from the questionnaires of all teams that share it. */
export function generateConfig(teams: readonly Questionnaire[]): FleetConfig {
  const services = teams.flatMap((team) => team.services);
  const accounts = teams.flatMap((team) => team.accounts);
  checkUniqueNames('service', services);
  checkUniqueNames('account', accounts);
  const dataCentres = teams.flatMap((team) => team.dataCentres);
  const modelReplicas = services
    .filter(({ backEnd }) => backEnd === 'model')
    .flatMap(({ replicas }) => Object.values(replicas))
    .reduce((sum, count) => sum + count, 0);
  return checkFleetConfig({
    dataCentres: Object.fromEntries(dataCentres.map(({ name, region }) => [name, { region }])),
    services: Object.fromEntries(services.map((item) => [item.name, buildService(item)])),
    accounts: Object.fromEntries(accounts.map((item) => [item.name, buildAccount(item)])),
    concurrentLoads: Math.max(1, Math.ceil(modelReplicas * maxLoadingShare)),
  });
}

function checkUniqueNames(type: string, items: readonly { name: string }[]): void {
  const names = items.map(({ name }) => name);
  const duplicate = names.find((name, index) => names.indexOf(name) !== index);
  if (!duplicate) return;
  throw new RelayError(
    ResultCode.invalidConfig,
    `${type}: got "${duplicate}" from two teams, allowed: a name that one team uses`,
    { notRun: true },
  );
}
