/** \file
 * Defines the loader of the file with the key that authenticates links.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"

#include <string>

namespace dogwooddrum::transport {

/** Minimum and maximum key size, in bytes without trailing line ends. */
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxKeyBytes = 4096;

/**
 * Returns the key in the file aPath without trailing line ends. Fails with
 * Unauthorized if the file is missing, not a regular file, accessible by
 * others, or if the key's size is outside the limits. Thread safe.
 */
base::Outcome<std::string>
LoadKeyFile(const std::string& aPath);

} // namespace dogwooddrum::transport
