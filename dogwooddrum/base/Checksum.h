/** \file
 * Defines the checksum for frames, log records and answers.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace dogwooddrum::base {

/** Returns the xxhash64 of aBytes with seed 0. Thread safe. */
std::uint64_t
Checksum(std::string_view aBytes);

} // namespace dogwooddrum::base
