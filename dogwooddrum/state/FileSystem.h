/** \file
 * Defines FileSystem, the file operations that durable state needs. It is an
 * interface so that tests can inject slow, full and read-only disks, torn
 * writes and crashes.
 */
#pragma once

#include "dogwooddrum/base/Outcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dogwooddrum::state {

/** A file that is open for appending. Not thread safe. */
class AppendFile
{
public:
  virtual ~AppendFile() = default;
  /** Appends all bytes or fails with StorageFailed. */
  virtual base::Outcome<bool> Append(std::string_view aBytes) = 0;
  /** Makes all appended bytes durable (fdatasync). */
  virtual base::Outcome<bool> Sync() = 0;
};

/** File operations; every failure is StorageFailed and names the path. */
class FileSystem
{
public:
  virtual ~FileSystem() = default;
  /** Creates the folder and its parents if they do not exist. */
  virtual base::Outcome<bool> CreateFolder(const std::string& aPath) = 0;
  /** Returns the names in a folder, sorted. */
  virtual base::Outcome<std::vector<std::string>> List(
    const std::string& aPath) = 0;
  virtual base::Outcome<std::string> Read(const std::string& aPath) = 0;
  /** Opens a file for appending; creates the file if it does not exist. */
  virtual base::Outcome<std::unique_ptr<AppendFile>> OpenAppend(
    const std::string& aPath) = 0;
  virtual base::Outcome<bool> Truncate(const std::string& aPath,
                                       std::uint64_t aBytes) = 0;
  virtual base::Outcome<bool> Rename(const std::string& aFrom,
                                     const std::string& aTo) = 0;
  virtual base::Outcome<bool> Remove(const std::string& aPath) = 0;
  /** Makes creations, renames and removals in a folder durable. */
  virtual base::Outcome<bool> SyncFolder(const std::string& aPath) = 0;
};

/** Returns the real file system (POSIX). */
std::unique_ptr<FileSystem>
MakePosixFileSystem();

} // namespace dogwooddrum::state
