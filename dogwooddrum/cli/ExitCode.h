/** \file
 * Defines the exit codes of the command-line tool; scripts rely on them.
 */
#pragma once

namespace dogwooddrum::cli {

enum class ExitCode : int
{
  Ok = 0,
  Failed = 1, ///< refused, or the job failed or was cancelled
  Usage = 2,  ///< wrong arguments or settings; nothing was sent
  NoAnswer =
    3, ///< no entry responded; the message says whether work may have run
  TimedOut = 4, ///< the job did not end within the wait
};

} // namespace dogwooddrum::cli
