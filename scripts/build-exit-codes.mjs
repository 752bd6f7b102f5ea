/** Exit code of a bundler that could not write its output, as in sysexits.h; an install of its packages does not help. */
export const cannotWriteExitCode = 73
