/** \file
 * Defines the check of internal invariants. A broken invariant aborts the
 * process; every other error is returned as a value.
 */
#pragma once

#include <string_view>

namespace dogwooddrum::base {

/**
 * Prints aMessage with its source location on standard error and aborts.
 * Thread safe.
 */
[[noreturn]] void
AbortOnBrokenInvariant(const char* aFile, int aLine, std::string_view aMessage);

} // namespace dogwooddrum::base

/** Aborts the process with aMessage if aCondition is false. */
#define DOGWOODDRUM_INVARIANT(aCondition, aMessage)                            \
  do {                                                                         \
    if (!(aCondition)) {                                                       \
      ::dogwooddrum::base::AbortOnBrokenInvariant(                             \
        __FILE__, __LINE__, (aMessage));                                       \
    }                                                                          \
  } while (false)
