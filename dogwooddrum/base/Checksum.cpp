#include "dogwooddrum/base/Checksum.h"

#include <xxhash.h>

namespace dogwooddrum::base {

std::uint64_t
Checksum(std::string_view aBytes)
{
  return XXH64(aBytes.data(), aBytes.size(), 0);
}

} // namespace dogwooddrum::base
