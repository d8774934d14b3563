#include "dogwooddrum/state/FileSystem.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace dogwooddrum::state {

namespace {

base::Failure
SystemCallFailure(const char* aCall, const std::string& aPath, int aError)
{
  return { base::Reason::StorageFailed,
           std::string(aCall) + " " + aPath + ": " + std::strerror(aError) };
}

/** Owns a file descriptor and closes it; -1 means none. */
class FileDescriptor
{
public:
  explicit FileDescriptor(int aFd)
    : mFd(aFd)
  {
  }
  ~FileDescriptor()
  {
    if (mFd >= 0) {
      ::close(mFd);
    }
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  int Get() const { return mFd; }

private:
  int mFd;
};

class PosixAppendFile : public AppendFile
{
public:
  PosixAppendFile(std::string aPath, int aFd)
    : mPath(std::move(aPath))
    , mFd(aFd)
  {
  }

  base::Outcome<bool> Append(std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      const ssize_t n = ::write(mFd.Get(), aBytes.data(), aBytes.size());
      if (n < 0 && errno != EINTR) {
        return SystemCallFailure("write", mPath, errno);
      }
      aBytes.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
    }
    return true;
  }

  base::Outcome<bool> Sync() override
  {
    if (::fdatasync(mFd.Get()) != 0) {
      return SystemCallFailure("fdatasync", mPath, errno);
    }
    return true;
  }

private:
  std::string mPath;
  FileDescriptor mFd;
};

class PosixFileSystem : public FileSystem
{
public:
  base::Outcome<bool> CreateFolder(const std::string& aPath) override
  {
    std::error_code ec;
    std::filesystem::create_directories(aPath, ec);
    if (ec) {
      return SystemCallFailure("mkdir", aPath, ec.value());
    }
    return true;
  }

  base::Outcome<std::vector<std::string>> List(
    const std::string& aPath) override
  {
    std::error_code ec;
    std::vector<std::string> names;
    std::filesystem::directory_iterator it(aPath, ec);
    for (; !ec && it != std::filesystem::directory_iterator();
         it.increment(ec)) {
      names.push_back(it->path().filename().string());
    }
    if (ec) {
      return SystemCallFailure("list", aPath, ec.value());
    }
    std::sort(names.begin(), names.end());
    return names;
  }

  base::Outcome<std::string> Read(const std::string& aPath) override
  {
    const FileDescriptor fd(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat info = {};
    if (fd.Get() < 0 || ::fstat(fd.Get(), &info) != 0) {
      return SystemCallFailure("open", aPath, errno);
    }
    std::string bytes(static_cast<std::size_t>(info.st_size), '\0');
    std::size_t bytesRead = 0;
    while (bytesRead < bytes.size()) {
      const ssize_t n =
        ::read(fd.Get(), bytes.data() + bytesRead, bytes.size() - bytesRead);
      if (n < 0 && errno != EINTR) {
        return SystemCallFailure("read", aPath, errno);
      }
      if (n == 0) {
        break;
      }
      bytesRead += n < 0 ? 0 : static_cast<std::size_t>(n);
    }
    bytes.resize(bytesRead);
    return bytes;
  }

  base::Outcome<std::unique_ptr<AppendFile>> OpenAppend(
    const std::string& aPath) override
  {
    constexpr mode_t kOwnerOnly = 0600;
    const int fd = ::open(
      aPath.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kOwnerOnly);
    if (fd < 0) {
      return SystemCallFailure("open", aPath, errno);
    }
    return std::unique_ptr<AppendFile>(
      std::make_unique<PosixAppendFile>(aPath, fd));
  }

  base::Outcome<bool> Truncate(const std::string& aPath,
                               std::uint64_t aBytes) override
  {
    return CheckResult(
      "truncate", aPath, ::truncate(aPath.c_str(), static_cast<off_t>(aBytes)));
  }

  base::Outcome<bool> Rename(const std::string& aFrom,
                             const std::string& aTo) override
  {
    return CheckResult(
      "rename", aFrom, std::rename(aFrom.c_str(), aTo.c_str()));
  }

  base::Outcome<bool> Remove(const std::string& aPath) override
  {
    return CheckResult("unlink", aPath, ::unlink(aPath.c_str()));
  }

  base::Outcome<bool> SyncFolder(const std::string& aPath) override
  {
    const FileDescriptor fd(
      ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.Get() < 0) {
      return SystemCallFailure("open", aPath, errno);
    }
    return CheckResult("fsync", aPath, ::fsync(fd.Get()));
  }

private:
  /** Returns the failure in errno if aResult is not 0. */
  static base::Outcome<bool> CheckResult(const char* aCall,
                                         const std::string& aPath,
                                         int aResult)
  {
    if (aResult != 0) {
      return SystemCallFailure(aCall, aPath, errno);
    }
    return true;
  }
};

} // namespace

std::unique_ptr<FileSystem>
MakePosixFileSystem()
{
  return std::make_unique<PosixFileSystem>();
}

} // namespace dogwooddrum::state
