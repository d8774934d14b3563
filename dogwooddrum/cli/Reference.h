/** \file
 * Defines the generated part of docs/interface.md.
 */
#pragma once

#include <string>

namespace dogwooddrum::cli {

/** Returns the table of all refusal reasons as Markdown. Thread safe. */
std::string
RefusalReference();

} // namespace dogwooddrum::cli
