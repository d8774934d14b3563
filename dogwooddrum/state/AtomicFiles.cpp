#include "dogwooddrum/state/AtomicFiles.h"

#include "dogwooddrum/base/Checksum.h"

#include <algorithm>
#include <cstdint>
#include <cstring>

namespace dogwooddrum::state {

base::Outcome<bool>
WriteFileAtomically(FileSystem& aFiles,
                    const std::string& aFolder,
                    const std::string& aName,
                    std::string_view aBody)
{
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + std::string(kTemporarySuffix);
  const auto names = aFiles.List(aFolder);
  if (!names) {
    return names.LastFailure();
  }
  if (std::binary_search(
        names->begin(), names->end(), aName + std::string(kTemporarySuffix))) {
    auto removed = aFiles.Remove(temporary);
    if (!removed) {
      return removed;
    }
  }
  auto file = aFiles.OpenAppend(temporary);
  if (!file) {
    return file.LastFailure();
  }
  const std::uint64_t checksum = base::Checksum(aBody);
  std::string bytes(reinterpret_cast<const char*>(&checksum), sizeof checksum);
  bytes.append(aBody);
  auto done = (*file)->Append(bytes);
  if (done) {
    done = (*file)->Sync();
  }
  if (done) {
    done = aFiles.Rename(temporary, path);
  }
  if (done) {
    done = aFiles.SyncFolder(aFolder);
  }
  return done;
}

base::Outcome<std::string>
ReadChecksummedFile(FileSystem& aFiles,
                    const std::string& aFolder,
                    const std::string& aName)
{
  auto bytes = aFiles.Read(aFolder + "/" + aName);
  if (!bytes) {
    return bytes;
  }
  std::uint64_t checksum = 0;
  if (bytes->size() >= sizeof checksum) {
    std::memcpy(&checksum, bytes->data(), sizeof checksum);
    std::string body = bytes->substr(sizeof checksum);
    if (base::Checksum(body) == checksum) {
      return body;
    }
  }
  return base::Failure{ base::Reason::CorruptLog,
                        aFolder + "/" + aName +
                          ": checksum at offset 0 does not match " +
                          std::to_string(bytes->size()) + " bytes" };
}

} // namespace dogwooddrum::state
