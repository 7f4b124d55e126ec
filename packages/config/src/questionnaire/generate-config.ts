import { RelayError, ResultCode, type FleetConfig } from '@vanillarelay/core';
import { checkFleetConfig } from '../check-fleet-config.js';
import { buildAccount } from './build-account.js';
import { buildService } from './build-service.js';
import type { Questionnaire } from './questionnaire.js';

/** At most this share of all model replicas loads weights at once. */
const loadingShare = 1 / 3;

/** The fleet configuration for the teams that share the fleet. */
export function generateConfig(teams: readonly Questionnaire[]): FleetConfig {
  const services = teams.flatMap((team) => team.services);
  const accounts = teams.flatMap((team) => team.accounts);
  checkNames('service', services);
  checkNames('account', accounts);
  const dataCentres = teams.flatMap((team) => team.dataCentres);
  const modelReplicas = services
    .filter(({ backEnd }) => backEnd === 'model')
    .flatMap(({ replicas }) => Object.values(replicas))
    .reduce((sum, count) => sum + count, 0);
  return checkFleetConfig({
    dataCentres: Object.fromEntries(dataCentres.map(({ name, region }) => [name, { region }])),
    services: Object.fromEntries(services.map((item) => [item.name, buildService(item)])),
    accounts: Object.fromEntries(accounts.map((item) => [item.name, buildAccount(item)])),
    concurrentLoads: Math.max(1, Math.ceil(modelReplicas * loadingShare)),
  });
}

function checkNames(type: string, items: readonly { name: string }[]): void {
  const names = items.map(({ name }) => name);
  const repeated = names.find((name, index) => names.indexOf(name) !== index);
  if (!repeated) return;
  throw new RelayError(
    ResultCode.invalidConfig,
    `${type}: got "${repeated}" from two teams, allowed: a name that one team uses`,
    { notRun: true },
  );
}
