#include "dogwooddrum/transport/KeyFile.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace dogwooddrum::transport {

namespace {

base::Failure
Refused(const std::string& aPath, const std::string& aReason)
{
  return { base::Reason::Unauthorized, "key file " + aPath + ": " + aReason };
}

/** Reads at most kMaxKeyBytes + 1 bytes, because the file may change while it
 * is read. */
base::Outcome<std::string>
ReadKey(int aFile, const std::string& aPath)
{
  struct stat status = {};
  if (::fstat(aFile, &status) != 0) {
    return Refused(aPath, std::strerror(errno));
  }
  if (!S_ISREG(status.st_mode)) {
    return Refused(aPath, "not a regular file");
  }
  // Checks the open file, so that replacing the path cannot bypass the check.
  if ((status.st_mode & S_IRWXO) != 0) {
    return Refused(aPath, "accessible by others; use mode 0600 or 0640");
  }
  std::array<char, kMaxKeyBytes + 1> buf{};
  const auto n = ::read(aFile, buf.data(), buf.size());
  if (n < 0) {
    return Refused(aPath, std::strerror(errno));
  }
  std::string key(buf.data(), static_cast<std::size_t>(n));
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  if (key.size() < kMinKeyBytes || key.size() > kMaxKeyBytes) {
    return Refused(aPath,
                   "key of " + std::to_string(key.size()) + " bytes, allowed " +
                     std::to_string(kMinKeyBytes) + " to " +
                     std::to_string(kMaxKeyBytes));
  }
  return key;
}

} // namespace

base::Outcome<std::string>
LoadKeyFile(const std::string& aPath)
{
  const int file = ::open(aPath.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (file < 0) {
    return Refused(aPath, std::strerror(errno));
  }
  auto key = ReadKey(file, aPath);
  ::close(file);
  return key;
}

} // namespace dogwooddrum::transport
