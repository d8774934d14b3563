/** \file
 * Defines which names of availability zones requests may hold.
 */
#pragma once

#include <string_view>

namespace dogwooddrum::protocol {

/** Returns whether the text is 1 to 128 letters, digits, '-', '_' or '.', so
 * that it needs no encoding in paths, settings and logs. Thread safe. */
inline bool
IsZoneName(std::string_view aText)
{
  constexpr std::size_t kMaxBytes = 128;
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz"
                                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "0123456789-_.";
  return !aText.empty() && aText.size() <= kMaxBytes &&
         aText.find_first_not_of(kAllowed) == std::string_view::npos;
}

} // namespace dogwooddrum::protocol
