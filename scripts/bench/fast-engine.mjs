// Runs a fake engine that answers as fast as it can, so that the relay's own cost is visible.
import { runFakeEngine } from '@vanillarelay/daemon';

await runFakeEngine(process.argv[2], {
  prefillMsPerToken: 0.02,
  tokenMs: 0,
  batchSlowdownMs: 0,
});
