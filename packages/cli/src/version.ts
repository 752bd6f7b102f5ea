/** Version of the command, from its package. */
import manifest from '../package.json'

export const version: string = manifest.version
