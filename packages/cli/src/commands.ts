/** All subcommands. */
import { checkCommand } from './check-command'
import type { Command } from './command'
import { configApplyCommand } from './config-apply-command'
import { configGetCommand, configHistoryCommand } from './config-commands'
import { demoCommand } from './demo-command'
import { explainCommand } from './explain-command'
import { nodeCommand } from './node-command'
import { addressesCommand, statusCommand } from './status-commands'
import { timelineCommand } from './timeline-command'

export const commands: Command[] = [
  nodeCommand,
  checkCommand,
  configGetCommand,
  configApplyCommand,
  configHistoryCommand,
  statusCommand,
  addressesCommand,
  explainCommand,
  timelineCommand,
  demoCommand
]
