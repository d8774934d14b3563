/** \file
 * Defines files that are replaced atomically and verified by a checksum when
 * they are read.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"
#include "dogwooddrum/state/FileSystem.h"

#include <string>
#include <string_view>

namespace dogwooddrum::state {

/** Suffix of a file that is being written; recovery removes such files. */
constexpr std::string_view kTemporarySuffix = ".tmp";

/**
 * Writes aBody with a checksum to a new file, syncs it, renames it to aName
 * and syncs the folder. Fails with StorageFailed.
 */
base::Outcome<bool>
WriteFileAtomically(FileSystem& aFiles,
                    const std::string& aFolder,
                    const std::string& aName,
                    std::string_view aBody);

/**
 * Returns the body of a file of WriteFileAtomically. Fails with StorageFailed,
 * or with CorruptLog, naming the file, if the checksum does not match.
 */
base::Outcome<std::string>
ReadChecksummedFile(FileSystem& aFiles,
                    const std::string& aFolder,
                    const std::string& aName);

} // namespace dogwooddrum::state
