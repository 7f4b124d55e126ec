import { runAgent, runControl, runEntry } from '@vanillarelay/daemon';
import { defineCommand, type CommandDef } from 'citty';
import { createApplyCommand } from './commands/apply-config.js';
import { createDataCentreCommand } from './commands/create-data-centre-command.js';
import { createDrainCommand } from './commands/drain-endpoint.js';
import { createGenerateCommand } from './commands/generate-config.js';
import { createGenerateSettingsCommand } from './commands/generate-settings.js';
import { createLiftMarkCommand } from './commands/lift-mark.js';
import { createOrderCommand } from './commands/order-engine.js';
import { createStartRolloutCommand } from './commands/start-rollout.js';
import type { CliContext } from './context/cli-context.js';
import { createProcessCommand } from './processes/create-process-command.js';
import { createStandInCommands } from './processes/create-stand-in-commands.js';
import { createCheckQuestionnaireQuery } from './queries/check-questionnaires.js';
import { createCheckSettingsQuery } from './queries/check-settings-files.js';
import { createDiffConfigQuery } from './queries/diff-config.js';
import { createExplainLogQuery } from './queries/explain-log.js';
import { createExplainQuery } from './queries/explain-request.js';
import { createListDataCentresQuery } from './queries/list-data-centres.js';
import { createListEndpointsQuery } from './queries/list-endpoints.js';
import { createHistoryQuery } from './queries/list-history.js';
import { createListMarksQuery } from './queries/list-marks.js';
import { createStatusQuery } from './queries/read-status.js';
import { createTimelineQuery } from './queries/read-timeline.js';
import { createShowConfigQuery } from './queries/show-config.js';
import { createShowRolloutQuery } from './queries/show-rollout.js';

/** Creates the `vanillarelay` command with all its subcommands. */
export function createMainCommand(context: CliContext): CommandDef {
  return defineCommand({
    meta: { name: 'vanillarelay', description: 'Router fleet for returning chats' },
    subCommands: {
      control: createProcessCommand(context, 'control', runControl),
      entry: createProcessCommand(context, 'entry', runEntry),
      agent: createProcessCommand(context, 'agent', runAgent),
      ...createStandInCommands(),
      settings: createGroup('settings', 'Settings of processes', {
        generate: createGenerateSettingsCommand(context),
        check: createCheckSettingsQuery(context),
      }),
      questionnaire: createGroup('questionnaire', 'Questionnaires of the teams', {
        check: createCheckQuestionnaireQuery(context),
        generate: createGenerateCommand(context),
      }),
      config: createGroup('config', 'The fleet configuration', {
        apply: createApplyCommand(context),
        show: createShowConfigQuery(context),
        history: createHistoryQuery(context),
        diff: createDiffConfigQuery(context),
      }),
      'data-centre': createGroup('data-centre', 'Data centres', {
        'take-out': createDataCentreCommand(context, {
          name: 'take-out',
          description: 'Send no new work to a data centre',
          type: 'takeOutDataCentre',
        }),
        'bring-back': createDataCentreCommand(context, {
          name: 'bring-back',
          description: 'Send work to a data centre again',
          type: 'bringBackDataCentre',
        }),
        list: createListDataCentresQuery(context),
      }),
      rollout: createGroup('rollout', 'Roll-outs of a version, at router daemons', {
        start: createStartRolloutCommand(context),
        show: createShowRolloutQuery(context),
      }),
      endpoint: createGroup('endpoint', 'Endpoints', {
        drain: createDrainCommand(context),
        list: createListEndpointsQuery(context),
      }),
      mark: createGroup('mark', 'Marks of requests that crash endpoints', {
        list: createListMarksQuery(context),
        lift: createLiftMarkCommand(context),
      }),
      engine: createGroup('engine', 'Engines', { order: createOrderCommand(context) }),
      status: createStatusQuery(context),
      timeline: createTimelineQuery(context),
      explain: createExplainQuery(context),
      log: createGroup('log', 'Log files', { explain: createExplainLogQuery(context) }),
    },
  });
}

function createGroup(name: string, description: string, subCommands: CommandDef['subCommands']) {
  return defineCommand({ meta: { name, description }, subCommands: subCommands ?? {} });
}
