// The exit codes of `lilacmux`, which scripts rely on (docs/operations).
#pragma once

namespace lilacmux {

enum ExitCode : int {
  kExitSuccess = 0,
  kExitFailed = 1,    // of a process: it could not run on; of an experiment: what it checks did not hold
  kExitRefused = 1,   // of an operator's command: it was refused, or nobody could be reached
  kExitDiffers = 1,   // of `config diff`: the configurations differ
  kExitBadInput = 2,  // the command line, a file or the settings cannot be used; nothing was sent
};

}  // namespace lilacmux
