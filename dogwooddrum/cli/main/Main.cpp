// dogwooddrum: the command-line tool for callers and operators.
#include "dogwooddrum/cli/Command.h"

int
main(int aCount, char** aArguments)
{
  using dogwooddrum::cli::Arguments;
  return static_cast<int>(
    dogwooddrum::cli::RunTool(Arguments(aArguments + 1, aArguments + aCount)));
}
