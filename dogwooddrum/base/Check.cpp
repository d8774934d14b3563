#include "dogwooddrum/base/Check.h"

#include <cstdio>
#include <cstdlib>

namespace dogwooddrum::base {

void
AbortOnBrokenInvariant(const char* aFile, int aLine, std::string_view aMessage)
{
  std::fprintf(stderr,
               "%s:%d: invariant broken: %.*s\n",
               aFile,
               aLine,
               static_cast<int>(aMessage.size()),
               aMessage.data());
  std::abort();
}

} // namespace dogwooddrum::base
