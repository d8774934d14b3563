/** \file
 * Defines the printing of JSON reports as tables.
 */
#pragma once

#include <string>

namespace dogwooddrum::cli {

/**
 * Prints a JSON object as tables: one table of names and values for its
 * members, with nested objects flattened, and one table for each array of
 * objects. Prints aBody unchanged if aJson is set or aBody is no JSON object.
 */
void
PrintReport(const std::string& aBody, bool aJson);

} // namespace dogwooddrum::cli
