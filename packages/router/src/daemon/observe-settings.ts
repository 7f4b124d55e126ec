import { stat } from 'node:fs/promises';
import type { Clock } from '@vanillarelay/core';
import type { Log } from '../log/log.js';
import { loadSettings } from './load-settings.js';
import type { RouterSettings } from './router-settings.js';

interface SettingsObserverOptions {
  clock: Clock;
  path: string;
  log: Log;
  apply: (settings: RouterSettings) => void;
}

/** How often the settings file is checked for changes. */
const checkIntervalMs = 1_000;

/** Reloads and applies the settings on SIGHUP and when the file has changed. */
export function observeSettings({ clock, path, log, apply }: SettingsObserverOptions): void {
  let lastChange = '';

  const loadAgain = async (reason: string): Promise<void> => {
    try {
      apply(await loadSettings(path));
      log.write('settings.reloaded', { reason });
    } catch (error) {
      log.write('settings.refused', { reason, fault: (error as Error).message }, true);
    }
  };

  const readChange = async (): Promise<string> => {
    try {
      const { mtimeMs, size, ino } = await stat(path);
      return `${mtimeMs} ${size} ${ino}`;
    } catch {
      // The file may be in the middle of being replaced; the next check reads it again.
      return lastChange;
    }
  };

  const run = async (): Promise<void> => {
    lastChange = await readChange();
    for (;;) {
      await clock.wait(checkIntervalMs);
      const change = await readChange();
      if (change === lastChange) continue;
      lastChange = change;
      await loadAgain('file changed');
    }
  };

  process.on('SIGHUP', () => {
    void loadAgain('SIGHUP');
  });
  void run();
}
